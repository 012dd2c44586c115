#include "bytebudget.h"

#include <algorithm>
#include <utility>

namespace indigoway {

namespace {

/** Large requests may take this share; the rest is for answers, small requests and other nodes. */
constexpr double LargeRequestShare = 0.4;
constexpr double LargeAnswerShare = 0.7;
constexpr double ExhaustedShare = 0.85;
/** While no more is held, no large request is open. */
constexpr double AloneShare = 0.1;

std::size_t shareOf(std::size_t capacity, double share)
{
    return static_cast<std::size_t>(static_cast<double>(capacity) * share);
}

} // namespace

ByteLease::ByteLease(ByteLease &&other) noexcept
    : m_budget(std::exchange(other.m_budget, nullptr))
    , m_held(std::exchange(other.m_held, 0))
    , m_expected(std::exchange(other.m_expected, 0))
{ }

ByteLease &ByteLease::operator=(ByteLease &&other) noexcept
{
    if (this != &other) {
        count(0, 0);
        m_budget = std::exchange(other.m_budget, nullptr);
        m_held = std::exchange(other.m_held, 0);
        m_expected = std::exchange(other.m_expected, 0);
    }
    return *this;
}

ByteLease::~ByteLease()
{
    count(0, 0);
}

void ByteLease::hold(std::size_t bytes)
{
    count(bytes, m_expected);
}

bool ByteLease::expect(std::size_t bytes, RoomFor what)
{
    if (!m_budget || bytes <= std::max(m_held, m_expected)) {
        return true;
    }
    if (!m_budget->hasRoomFor(bytes - std::max(m_held, m_expected), what)) {
        return false;
    }
    count(m_held, bytes);
    return true;
}

void ByteLease::forgetExpected()
{
    count(m_held, 0);
}

void ByteLease::count(std::size_t held, std::size_t expected)
{
    if (!m_budget) {
        return;
    }
    const auto beyondHeld = [](std::size_t all, std::size_t part) {
        return all > part ? all - part : 0;
    };
    m_budget->m_held += held - m_held;
    m_budget->m_expected += beyondHeld(expected, held) - beyondHeld(m_expected, m_held);
    m_budget->m_highestHeld = std::max(m_budget->m_highestHeld, m_budget->m_held);
    m_held = held;
    m_expected = expected;
}

ByteBudget::ByteBudget(std::size_t capacity)
    : m_capacity(capacity)
{ }

ByteBudget::Level ByteBudget::level() const
{
    if (m_held > shareOf(m_capacity, ExhaustedShare)) {
        return Level::Exhausted;
    }
    return m_held > shareOf(m_capacity, LargeAnswerShare) ? Level::Scarce : Level::Calm;
}

std::size_t ByteBudget::excessOver(double share) const
{
    const std::size_t wanted = shareOf(m_capacity, share);
    return m_held > wanted ? m_held - wanted : 0;
}

double ByteBudget::shareFor(RoomFor what) const
{
    if (what == RoomFor::Answers) {
        // One goes on even where the capacity is small; the next ones wait for it.
        return m_expected == 0 ? ExhaustedShare : LargeAnswerShare;
    }
    // A single large request is read even where the capacity is small. Further ones would take the
    // room that their answers need, and all of them would wait for each other.
    const bool isAlone = m_expected == 0 && m_held <= shareOf(m_capacity, AloneShare);
    return isAlone ? ExhaustedShare : LargeRequestShare;
}

bool ByteBudget::hasRoomFor(std::size_t bytes, RoomFor what) const
{
    return m_held + m_expected + bytes <= shareOf(m_capacity, shareFor(what));
}

} // namespace indigoway
