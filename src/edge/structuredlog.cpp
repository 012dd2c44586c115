#include "structuredlog.h"

#include "core/jsontext.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace indigoway {

namespace {

/** Sustained rate of each kind of line, three times the requests of a node at peak load. */
constexpr double LinesPerSecond = 40;
constexpr double BurstLines = 200;
/** Below PIPE_BUF, so that a line is written to a pipe as a whole or not at all. */
constexpr std::size_t MaxLineBytes = 2048;

/** Writes to standard output if that does not block, and drops the line otherwise. */
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    std::uint64_t dropped() const { return m_dropped; }

protected:
    void sink_it_(const spdlog::details::log_msg &message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        pollfd output {STDOUT_FILENO, POLLOUT, 0};
        if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0
            || write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++m_dropped;
        }
    }
    void flush_() override { }

private:
    std::uint64_t m_dropped = 0;
};

std::string quoted(const std::string &text)
{
    return Json::valueToQuotedString(text.c_str());
}

} // namespace

StructuredLog::StructuredLog(const NodeName &node)
    : m_node(quoted(node.text()))
    , m_logger(std::make_shared<spdlog::logger>("decisions", std::make_shared<NonBlockingSink>()))
{
    m_logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",%v}");
}

StructuredLog::~StructuredLog() = default;

void StructuredLog::write(TimePoint now, const std::string &kind,
                          const std::vector<LogField> &fields)
{
    TokenBucket &bucket = m_buckets[kind];
    if (!takeToken(bucket, now)) {
        ++bucket.dropped;
        ++m_dropped;
        return;
    }
    std::string line = "\"node\":" + m_node + ",\"kind\":" + quoted(kind);
    for (const LogField &field : fields) {
        line += std::string(",\"") + field.name + "\":" + quoted(field.value);
    }
    if (bucket.dropped > 0) {
        line += ",\"dropped_before\":" + std::to_string(bucket.dropped);
        bucket.dropped = 0;
    }
    if (line.size() > MaxLineBytes) {
        line = "\"node\":" + m_node + ",\"kind\":" + quoted(kind) + ",\"fault\":\"line too long\"";
    }
    m_logger->info("{}", line);
}

bool StructuredLog::takeToken(TokenBucket &bucket, TimePoint now) const
{
    const double seconds =
        std::chrono::duration_cast<std::chrono::duration<double>>(now - bucket.refilledAt).count();
    bucket.tokens = bucket.refilledAt == TimePoint {}
        ? BurstLines
        : std::min(BurstLines, bucket.tokens + seconds * LinesPerSecond);
    bucket.refilledAt = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

} // namespace indigoway
