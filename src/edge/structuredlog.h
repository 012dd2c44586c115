#pragma once

#include <indigoway/ids.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace spdlog {
class logger;
} // namespace spdlog

namespace indigoway {

struct LogField
{
    const char *name;
    std::string value;
};

/**
 * Writes structured log lines to standard output, one JSON object per line. Each kind of line has
 * its own rate limit; the first line after a limited period gives the number of lines dropped.
 * Never blocks: a line that the reader of the pipe has no room for is dropped.
 */
class StructuredLog
{
public:
    explicit StructuredLog(const NodeName &node);
    ~StructuredLog();
    StructuredLog(const StructuredLog &) = delete;
    StructuredLog &operator=(const StructuredLog &) = delete;

    void write(TimePoint now, const std::string &kind, const std::vector<LogField> &fields);
    /** @return the number of lines dropped by the rate limits. */
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct TokenBucket
    {
        double tokens = 0;
        TimePoint refilledAt {};
        std::uint64_t dropped = 0; ///< Lines dropped since the last one written.
    };

    /** Takes one token for a line; returns false if there is none. */
    bool takeToken(TokenBucket &bucket, TimePoint now) const;

    std::string m_node; ///< The node's name as a JSON string.
    std::shared_ptr<spdlog::logger> m_logger;
    std::map<std::string, TokenBucket> m_buckets; ///< By kind of line.
    std::uint64_t m_dropped = 0;
};

} // namespace indigoway
