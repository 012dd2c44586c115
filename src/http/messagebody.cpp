#include "messagebody.h"

#include <event2/buffer.h>

#include <algorithm>

namespace indigoway {

namespace {

/** Below this size a copy is cheaper than a reference. */
constexpr std::size_t MinReferencedBytes = 4096;

} // namespace

MessageBody::MessageBody(std::string text)
    : m_content(std::make_shared<Content>())
{
    m_content->bytes = std::move(text);
}

MessageBody::MessageBody(ByteBudget &budget)
    : m_content(std::make_shared<Content>())
{
    m_content->lease = ByteLease(budget);
}

std::string_view MessageBody::text() const
{
    return m_content ? std::string_view(m_content->bytes) : std::string_view();
}

void MessageBody::append(std::string_view bytes, std::size_t maxBytes)
{
    if (!m_content) {
        m_content = std::make_shared<Content>();
    }
    std::string &all = m_content->bytes;
    const std::size_t size = all.size() + bytes.size();
    if (size > all.capacity()) {
        // A string that grows itself would take up to twice the whole body.
        std::string larger;
        larger.reserve(std::max(size, std::min(2 * size, maxBytes)));
        larger.append(all);
        all = std::move(larger);
    }
    all.append(bytes);
    m_content->lease.hold(all.capacity());
}

bool MessageBody::expect(std::size_t bytes, RoomFor what)
{
    return !m_content || m_content->lease.expect(bytes, what);
}

void MessageBody::forgetExpected()
{
    if (m_content) {
        m_content->lease.forgetExpected();
    }
}

bool MessageBody::isExpecting() const
{
    return m_content && m_content->lease.isExpecting();
}

void MessageBody::stopCounting() const
{
    if (m_content) {
        m_content->lease = {};
    }
}

void MessageBody::writeTo(evbuffer *output) const
{
    const std::string_view bytes = text();
    if (bytes.size() < MinReferencedBytes) {
        evbuffer_add(output, bytes.data(), bytes.size());
        return;
    }
    auto *kept = new std::shared_ptr<Content>(m_content);
    const auto release = [](const void * /*data*/, size_t /*size*/, void *context) {
        delete static_cast<std::shared_ptr<Content> *>(context);
    };
    if (evbuffer_add_reference(output, bytes.data(), bytes.size(), release, kept) != 0) {
        delete kept;
    }
}

} // namespace indigoway
