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

/** One field of a log line. */
struct LogField
{
    const char *name;
    std::string value;
};

/**
 * Structured lines on standard output, one JSON object each. Bounded per kind of line, and never
 * blocking: where nobody reads the output a line is dropped, and the next one of its kind that
 * gets through tells how many were.
 */
class DecisionLog
{
public:
    explicit DecisionLog(const NodeName &node);
    ~DecisionLog();
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;

    void write(TimePoint now, const std::string &kind, const std::vector<LogField> &fields);
    std::uint64_t dropped() const { return m_dropped; }

private:
    struct Bucket
    {
        double lines = 0;
        TimePoint filledAt {};
        std::uint64_t dropped = 0;
    };

    bool mayWrite(Bucket &bucket, TimePoint now) const;

    std::string m_node;
    std::shared_ptr<spdlog::logger> m_logger;
    std::map<std::string, Bucket> m_buckets;
    std::uint64_t m_dropped = 0;
};

} // namespace indigoway
