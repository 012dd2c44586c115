#pragma once

#include <indigoway/messages.h>

#include <json/value.h>

#include <optional>
#include <string>
#include <utility>

namespace indigoway {

/** A peer request as JSON-RPC carries it. */
struct EncodedRequest
{
    std::string method;
    Json::Value params;
};

EncodedRequest encodeRequest(const PeerRequest &request);
/** Nothing if the method is not known or @p params do not fit it. */
std::optional<PeerRequest> decodeRequest(const std::string &method, const Json::Value &params);
/** All methods that decodeRequest() knows. */
std::vector<std::string> peerMethods();

Json::Value encodeReply(const PeerReply &reply);
/** Nothing if @p value is no reply. */
std::optional<PeerReply> decodeReply(const Json::Value &value);

} // namespace indigoway
