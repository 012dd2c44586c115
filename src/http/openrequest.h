#pragma once

#include "http/httpserver.h"

#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <json/value.h>

#include <string>
#include <vector>

namespace indigoway {

/** What the HTTP side keeps of a request while it is open; the decisions never see it. */
struct OpenRequest
{
    HttpRequest original;
    Json::Value body; ///< Of a model request, parsed.
    RequestSpec spec;
    bool isChat = false;
    bool isStreamed = false;
    bool hasStarted = false; ///< The answer's head was sent.
    std::string answer;      ///< Text so far; a continuation's prompt, and the unstreamed answer.
    std::uint32_t answeredTokens = 0;
    std::string arriving; ///< Text of the tokens of the event being decided on.
    std::string finishReason;
    Json::Value transfer;  ///< The prefill's kv_transfer_params; opaque.
    std::string chunkHead; ///< Of each streamed chunk, up to the text.
    // A plain service's whole answer.
    int serviceStatus = 0;
    HttpHeaders serviceHeaders;
    std::string serviceBody;
};

} // namespace indigoway
