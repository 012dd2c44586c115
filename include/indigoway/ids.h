#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace indigoway {

/** Monotonic time of one process; never compared between processes. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
/** Durations inside the decision logic. */
using Duration = std::chrono::microseconds;

/** A textual identifier that only compares with its own kind. */
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text)
        : m_text(std::move(text))
    { }
    const std::string &text() const { return m_text; }
    bool isEmpty() const { return m_text.empty(); }
    auto operator<=>(const Name &) const = default;

private:
    std::string m_text;
};

/** A numeric identifier that only compares with its own kind. Zero means "none". */
template <typename Tag>
class Number
{
public:
    constexpr Number() = default;
    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    { }
    constexpr std::uint64_t value() const { return m_value; }
    constexpr bool isNone() const { return m_value == 0; }
    auto operator<=>(const Number &) const = default;

private:
    std::uint64_t m_value = 0;
};

/** An entry VM's node of the system. */
using NodeName = Name<struct NodeTag>;
/** A backend server: a model engine or a plain service's worker. */
using ServerName = Name<struct ServerTag>;
using PoolName = Name<struct PoolTag>;
/** A model or a plain service: what a caller asks for. */
using TargetName = Name<struct TargetTag>;
/** A failure domain. */
using DomainName = Name<struct DomainTag>;
/** What a request asks for: the same in each of its attempts, whoever's node they reach. */
using ContentId = Name<struct ContentTag>;
/** A request as a backend server knows it; see engineRequestName(). */
using EngineRequestName = Name<struct EngineRequestTag>;

/** A caller's request on this node. */
using RequestNumber = Number<struct RequestTag>;
/** A call from this node to a backend server. */
using CallNumber = Number<struct CallTag>;
/** A call from this node to a peer. */
using PeerCallNumber = Number<struct PeerCallTag>;
/** A call that a peer made to this node. */
using PeerRequestNumber = Number<struct PeerRequestTag>;
/** A call to the key-value service. */
using StoreCallNumber = Number<struct StoreCallTag>;
/** An operator's command on this node. */
using CommandNumber = Number<struct CommandTag>;
/** A claim on a cell's capacity, unique within one scheduler's incarnation. */
using ClaimNumber = Number<struct ClaimTag>;
/** Distinguishes the lives of one node; a later life has the larger number. */
using Incarnation = Number<struct IncarnationTag>;
/** Configuration revision; rises by one with each accepted change. */
using Revision = Number<struct RevisionTag>;

/** A node in one of its lives. */
struct NodeLife
{
    NodeName node;
    Incarnation incarnation;
    auto operator<=>(const NodeLife &) const = default;
};

/**
 * The name under which an engine knows an attempt of a request:
 * node "." incarnation "." request "." attempt. The owner can be read off it,
 * which is what reclaiming after the owner's death relies on.
 */
EngineRequestName engineRequestName(const NodeLife &owner, RequestNumber request,
                                    std::uint32_t attempt);

/** The owner in @p name; an empty node name if it is not one of the system's. */
NodeLife ownerOf(const EngineRequestName &name);

} // namespace indigoway

template <typename Tag>
struct std::hash<indigoway::Name<Tag>>
{
    std::size_t operator()(const indigoway::Name<Tag> &name) const noexcept
    {
        return std::hash<std::string> {}(name.text());
    }
};

template <typename Tag>
struct std::hash<indigoway::Number<Tag>>
{
    std::size_t operator()(const indigoway::Number<Tag> &number) const noexcept
    {
        return std::hash<std::uint64_t> {}(number.value());
    }
};
