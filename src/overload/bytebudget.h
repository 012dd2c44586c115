#pragma once

#include <cstddef>
#include <functional>
#include <limits>

namespace indigoway {

class ByteBudget;

/** What is to take up room. */
enum class RoomFor {
    Requests,
    Answers, ///< Of requests that have run: they get room that no request gets.
};

/** A share of a ByteBudget that ends with its owner, whatever ends that. */
class ByteLease
{
public:
    ByteLease() = default;
    explicit ByteLease(ByteBudget &budget)
        : m_budget(&budget)
    { }
    ByteLease(ByteLease &&other) noexcept;
    ByteLease &operator=(ByteLease &&other) noexcept;
    ByteLease(const ByteLease &) = delete;
    ByteLease &operator=(const ByteLease &) = delete;
    ~ByteLease();

    /** Counts @p bytes as held; the bytes held beyond before count no more as expected. */
    void hold(std::size_t bytes);
    /**
     * Asks for room for @p bytes in all, which will be held soon.
     * @return false if there is no room; what was expected before stays
     */
    bool expect(std::size_t bytes, RoomFor what);
    /** Counts only what is held. */
    void forgetExpected();
    std::size_t held() const { return m_held; }
    bool isExpecting() const { return m_expected > m_held; }

private:
    /** Counts @p held and @p expected from now on in place of what was counted. */
    void count(std::size_t held, std::size_t expected);

    ByteBudget *m_budget = nullptr; ///< Null: nothing is counted.
    std::size_t m_held = 0;
    std::size_t m_expected = 0; ///< In all; no less than what is held if anything is expected.
};

/**
 * Grants and counts the bytes that a process holds for clients: what they have sent and what they
 * have not yet read. Large requests need room before they are read. Small ones do not, so that they
 * are served while large ones wait.
 */
class ByteBudget
{
public:
    enum class Level {
        Calm,
        Scarce,    ///< No room for further large requests.
        Exhausted, ///< Something has to be given up.
    };

    /** Requests up to this size are read without asking for room. */
    static constexpr std::size_t SmallBytes = std::size_t {64} * 1024;
    static constexpr std::size_t Unlimited = std::numeric_limits<std::size_t>::max();

    explicit ByteBudget(std::size_t capacity = Unlimited);
    ByteBudget(const ByteBudget &) = delete;
    ByteBudget &operator=(const ByteBudget &) = delete;
    ~ByteBudget() = default;

    std::size_t capacity() const { return m_capacity; }
    std::size_t held() const { return m_held; }
    /** Returns the bytes that are expected beyond those held. */
    std::size_t expected() const { return m_expected; }
    std::size_t highestHeld() const { return m_highestHeld; }
    Level level() const;
    /** Returns how many bytes have to be given up until @p share of the capacity is held. */
    std::size_t excessOver(double share) const;

private:
    friend class ByteLease;
    /** Returns the share of the capacity that may be taken up. */
    double shareFor(RoomFor what) const;
    bool hasRoomFor(std::size_t bytes, RoomFor what) const;

    std::size_t m_capacity;
    std::size_t m_held = 0;
    std::size_t m_expected = 0;
    std::size_t m_highestHeld = 0;
};

} // namespace indigoway
