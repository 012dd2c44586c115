#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace indigoway {

/** Monotonic time of one process, not comparable between processes. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::microseconds>;
/** Duration in microseconds, as used by the reducers. */
using Duration = std::chrono::microseconds;

/** A strongly typed textual identifier. */
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

/** A strongly typed numeric identifier. Zero means "none". */
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

/** The node that runs on an entry VM. */
using NodeName = Name<struct NodeTag>;
/** A backend server: a model engine or a plain service's worker. */
using ServerName = Name<struct ServerTag>;
using PoolName = Name<struct PoolTag>;
/** A model or a plain service that callers can request. */
using TargetName = Name<struct TargetTag>;
/** A failure domain. */
using DomainName = Name<struct DomainTag>;
/** Identifies the content of a request; equal for all attempts, on whatever node. */
using ContentId = Name<struct ContentTag>;
/** The name of a request on a backend server; see engineRequestName(). */
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
/** Numbers the lives of one node; a later life has a larger number. */
using Incarnation = Number<struct IncarnationTag>;
/** Configuration revision, which rises by one with each accepted change. */
using Revision = Number<struct RevisionTag>;

/** One life of a node, from the start of its process to the end. */
struct NodeLife
{
    NodeName node;
    Incarnation incarnation;
    auto operator<=>(const NodeLife &) const = default;
};

/**
 * Returns the name of an attempt of a request on an engine:
 * node "." incarnation "." request "." attempt. Requests of a dead owner are
 * found by the owner in this name.
 */
EngineRequestName engineRequestName(const NodeLife &owner, RequestNumber request,
                                    std::uint32_t attempt);

/** Returns the owner in @p name, or an empty node name if engineRequestName() did not make it. */
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
