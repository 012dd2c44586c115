#include "decisionlog.h"

#include "core/jsontext.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/sinks/base_sink.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace indigoway {

namespace {

/** Lines of one kind a second on the long run; three times the requests of a node at its peak. */
constexpr double LinesPerSecond = 40;
constexpr double MostAtOnce = 200;
/** A pipe takes so many bytes in one piece or says beforehand that it would not. */
constexpr std::size_t LongestLine = 2048;

/** Writes to standard output only where that does not block; a reader may have stopped. */
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

DecisionLog::DecisionLog(const NodeName &node)
    : m_node(quoted(node.text()))
    , m_logger(std::make_shared<spdlog::logger>("decisions", std::make_shared<NonBlockingSink>()))
{
    m_logger->set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",%v}");
}

DecisionLog::~DecisionLog() = default;

void DecisionLog::write(TimePoint now, const std::string &kind, const std::vector<LogField> &fields)
{
    Bucket &bucket = m_buckets[kind];
    if (!mayWrite(bucket, now)) {
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
    if (line.size() > LongestLine) {
        line = "\"node\":" + m_node + ",\"kind\":" + quoted(kind) + ",\"fault\":\"line too long\"";
    }
    m_logger->info("{}", line);
}

bool DecisionLog::mayWrite(Bucket &bucket, TimePoint now) const
{
    const double seconds =
        std::chrono::duration_cast<std::chrono::duration<double>>(now - bucket.filledAt).count();
    bucket.lines = bucket.filledAt == TimePoint {}
        ? MostAtOnce
        : std::min(MostAtOnce, bucket.lines + seconds * LinesPerSecond);
    bucket.filledAt = now;
    if (bucket.lines < 1) {
        return false;
    }
    bucket.lines -= 1;
    return true;
}

} // namespace indigoway
