#pragma once

#include "overload/bytebudget.h"

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

struct evbuffer;

namespace indigoway {

/**
 * The body of a message. Copies share its bytes, which count in a budget until the last copy and
 * the last buffer that still sends them have ended.
 */
class MessageBody
{
public:
    MessageBody() = default;
    MessageBody(std::string text); // NOLINT(google-explicit-constructor): a body is its text.
    MessageBody(const char *text)  // NOLINT(google-explicit-constructor)
        : MessageBody(std::string(text))
    { }
    /** Makes an empty body that counts in @p budget. */
    explicit MessageBody(ByteBudget &budget);

    std::string_view text() const;
    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }
    /**
     * Appends @p bytes to a body that has no copies yet.
     * @param maxBytes What the whole body is known not to exceed.
     */
    void append(std::string_view bytes, std::size_t maxBytes);
    /** Counts the bytes of the whole body as expected; false if there is no room for them. */
    bool expect(std::size_t bytes, RoomFor what);
    /** Counts only the bytes that are there. */
    void forgetExpected();
    bool isExpecting() const;
    /** Ends the counting; whoever sends the bytes counts them from now on. */
    void stopCounting() const;
    /** Appends the bytes to @p output, without a copy if they are many. */
    void writeTo(evbuffer *output) const;

private:
    struct Content
    {
        std::string bytes;
        ByteLease lease;
    };
    std::shared_ptr<Content> m_content;
};

} // namespace indigoway
