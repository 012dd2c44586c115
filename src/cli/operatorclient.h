#pragma once

#include <json/value.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace indigoway {

/** An answer to an operator's call, or why there is none. */
struct OperatorAnswer
{
    int status = 0; ///< 0: no node answered.
    Json::Value body;
    std::string error;
    bool isInDoubt = false; ///< The connection broke after the call was sent.
};

/** Blocking calls to the first node that answers. */
class OperatorClient
{
public:
    OperatorClient(std::vector<std::string> addresses, std::string token);
    ~OperatorClient();

    OperatorAnswer get(const std::string &path);
    OperatorAnswer post(const std::string &path, const Json::Value &body);
    void sleep(std::chrono::milliseconds time);

private:
    struct Loop;

    OperatorAnswer call(const std::string &method, const std::string &path,
                        const std::string &body);

    std::unique_ptr<Loop> m_loop;
    std::vector<std::string> m_addresses;
    std::string m_token;
};

} // namespace indigoway
