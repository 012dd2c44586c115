#pragma once

#include "origins/origincodec.h"
#include "origins/streamorigins.h"

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace indigoway::origins {

/** Nodes that exchange datagrams in simulated time, with losses, deaths and cuts. */
class OriginFleet
{
public:
    static constexpr Duration Latency = std::chrono::microseconds(1400);

    OriginFleet(int nodes, int domains, std::uint64_t seed = 1)
        : m_random(seed)
        , m_domains(domains)
    {
        for (int i = 0; i < nodes; ++i) {
            m_members[nameOf(i)] = {nameOf(i), DomainName("d" + std::to_string(i % domains)), 1};
        }
        for (const auto &[name, member] : m_members) {
            m_nodes[name];
        }
        tellMembers();
    }

    static NodeName nameOf(int number) { return NodeName("node-" + std::to_string(number)); }
    TimePoint now() const { return m_now; }
    void setLoss(double loss) { m_loss = loss; }
    StreamOrigins &node(int number) { return m_nodes.at(nameOf(number)); }
    bool isAlive(int number) const { return !m_dead.contains(nameOf(number)); }

    /** Tells all nodes which nodes there are. */
    void tellMembers()
    {
        for (auto &[name, origins] : m_nodes) {
            tellMembers(name);
        }
    }
    void kill(int number) { m_dead.insert(nameOf(number)); }
    /** Starts another process at a node that was killed, which knows nothing but the members. */
    void restart(int number)
    {
        const NodeName name = nameOf(number);
        m_dead.erase(name);
        ++m_members[name].life;
        m_nodes.erase(name);
        m_nodes[name];
        tellMembers();
    }
    /** Cuts a node off from all others. */
    void cut(int number, bool isCut)
    {
        if (isCut) {
            m_cut.insert(nameOf(number));
        } else {
            m_cut.erase(nameOf(number));
        }
    }
    /** From now on streams of all nodes are recorded in the store, or no longer. */
    void storeStreams(bool isStored)
    {
        for (auto &[name, origins] : m_nodes) {
            origins.setStoredServices(
                m_now, isStored ? std::set {ServiceName("llm")} : std::set<ServiceName> {});
        }
    }
    /** Returns the records that nodes alive have made since the last call, with their makers. */
    std::multimap<StreamId, NodeName> takeStoreRecords()
    {
        std::multimap<StreamId, NodeName> makers;
        for (auto &[name, origins] : m_nodes) {
            for (const StreamRecord &record : origins.takeStoreRecords()) {
                if (!m_dead.contains(name)) {
                    makers.emplace(record.stream, name);
                }
            }
        }
        return makers;
    }
    /** Removes a node that was killed from what the others know. */
    void forget(int number)
    {
        m_members.erase(nameOf(number));
        for (auto &[name, origins] : m_nodes) {
            if (name != nameOf(number)) {
                tellMembers(name);
            }
        }
    }
    bool isInDomain(int number, int domain) const { return number % m_domains == domain; }

    void begin(int number, const std::string &stream, const std::string &version)
    {
        StreamOrigins::Messages messages;
        node(number).begin(m_now,
                           {StreamId(stream),
                            {ServiceName("llm"), version},
                            std::chrono::seconds(14),
                            ContentId("content-of-" + stream)},
                           messages);
        send(nameOf(number), messages);
    }
    /** Looks up a stream; the result is in results() once it is decided. */
    RequestNumber lookUp(int number, const std::string &stream)
    {
        return lookUp(number, StreamOrigins::Subject {StreamId(stream)});
    }
    /** Looks up a stream whose id the caller does not name. */
    RequestNumber lookUpContent(int number, const std::string &content)
    {
        return lookUp(number, StreamOrigins::Subject {streamIdOf(ContentId(content)), true});
    }
    RequestNumber lookUp(int number, const StreamOrigins::Subject &subject)
    {
        StreamOrigins::Messages messages;
        const RequestNumber request(++m_lastRequest);
        if (const auto result = node(number).lookUp(m_now, request, subject, messages)) {
            m_results[request] = *result;
        }
        send(nameOf(number), messages);
        return request;
    }
    void advance(Duration duration)
    {
        constexpr Duration Step = std::chrono::microseconds(500);
        for (const TimePoint until = m_now + duration; m_now < until; m_now += Step) {
            deliverDue();
            for (auto &[name, origins] : m_nodes) {
                const auto due = origins.nextTick();
                if (!m_dead.contains(name) && due && *due <= m_now) {
                    StreamOrigins::Messages messages;
                    addResults(origins.tick(m_now, messages));
                    send(name, messages);
                }
            }
        }
    }
    std::optional<OriginResult> result(RequestNumber request) const
    {
        const auto it = m_results.find(request);
        return it == m_results.end() ? std::nullopt : std::optional(it->second);
    }
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }

private:
    struct InTransit
    {
        NodeName from;
        StreamOrigins::Outgoing message;
    };

    void tellMembers(const NodeName &name)
    {
        std::vector<Holder> others;
        for (const auto &[other, member] : m_members) {
            if (other != name) {
                others.push_back(member);
            }
        }
        m_nodes[name].setNodes(m_now, others, m_members.at(name));
    }
    void send(const NodeName &from, const StreamOrigins::Messages &messages)
    {
        constexpr std::size_t HeaderBytes = 28; // IP and UDP.
        for (const StreamOrigins::Outgoing &message : messages) {
            ++m_messages;
            m_bytes += encode(from, message.message).size() + HeaderBytes;
            const bool isCut = m_cut.contains(from) || m_cut.contains(message.to);
            const bool isLost = std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss;
            if (!isCut && !isLost) {
                m_inTransit.emplace(m_now + Latency, InTransit {from, message});
            }
        }
    }
    void deliverDue()
    {
        while (!m_inTransit.empty() && m_inTransit.begin()->first <= m_now) {
            const InTransit due = m_inTransit.begin()->second;
            m_inTransit.erase(m_inTransit.begin());
            if (m_dead.contains(due.message.to)) {
                continue;
            }
            StreamOrigins::Messages messages;
            addResults(
                m_nodes.at(due.message.to).handle(m_now, due.from, due.message.message, messages));
            send(due.message.to, messages);
        }
    }
    void addResults(const std::vector<OriginResult> &results)
    {
        for (const OriginResult &result : results) {
            m_results[result.request] = result;
        }
    }

    std::mt19937_64 m_random;
    int m_domains;
    TimePoint m_now = TimePoint {} + std::chrono::hours(1);
    double m_loss = 0;
    std::map<NodeName, Holder> m_members;
    std::map<NodeName, StreamOrigins> m_nodes;
    std::set<NodeName> m_dead;
    std::set<NodeName> m_cut;
    std::multimap<TimePoint, InTransit> m_inTransit;
    std::map<RequestNumber, OriginResult> m_results;
    std::uint64_t m_lastRequest = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace indigoway::origins
