#include "node.h"

#include "configuration/schema.h"

/** @file The tables that operators can query. */

namespace indigoway {

namespace {

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return {};
}

} // namespace

void Node::addQueries()
{
    m_queries.add(
        "models", {[](const Turn &turn) {
            Table table {{"name", "version", "priority", "first-token", "between-tokens", "late"},
                         {}};
            for (const auto &[name, target] : turn.deployment.targets) {
                if (!target.isService) {
                    table.rows.push_back(
                        {name.text(), target.version, std::to_string(target.priority),
                         durationText(target.firstToken), durationText(target.betweenTokens),
                         target.late == LatePolicy::Refuse ? "refuse" : "finish"});
                }
            }
            return table;
        }});
    m_queries.add("services", {[](const Turn &turn) {
                      Table table {{"name", "prefix", "priority", "repeatable"}, {}};
                      for (const auto &[name, target] : turn.deployment.targets) {
                          if (target.isService) {
                              table.rows.push_back({name.text(), target.prefix,
                                                    std::to_string(target.priority),
                                                    target.repeatable ? "yes" : "no"});
                          }
                      }
                      return table;
                  }});
    m_queries.add("pools", {[](const Turn &turn) {
                      Table table {{"name", "role", "target", "servers"}, {}};
                      std::map<PoolName, std::size_t> sizes;
                      for (const auto &[name, server] : turn.deployment.servers) {
                          ++sizes[server.pool];
                      }
                      for (const auto &[name, pool] : turn.deployment.pools) {
                          const char *role = pool.role == Role::Prefill ? "prefill"
                              : pool.role == Role::Decode               ? "decode"
                                                                        : "service";
                          table.rows.push_back(
                              {name.text(), role, pool.target.text(), std::to_string(sizes[name])});
                      }
                      return table;
                  }});
    m_queries.add("servers", {[](const Turn &turn) {
                      Table table {
                          {"name", "pool", "address", "domain", "slots", "state", "checks-fencing"},
                          {}};
                      for (const auto &[name, server] : turn.deployment.servers) {
                          const char *state = server.state == ServerState::Active ? "active"
                              : server.state == ServerState::Draining             ? "draining"
                                                                                  : "stopped";
                          table.rows.push_back({name.text(), server.pool.text(), server.address,
                                                server.domain.text(), std::to_string(server.slots),
                                                state, server.checksFencing ? "yes" : "no"});
                      }
                      return table;
                  }});
    m_queries.add(
        "nodes",
        {[this](const Turn &turn) {
             const MemberUpdate &self = m_membership.self();
             return Table {
                 {"name", "state", "callers", "domain", "revision", "open", "cells", "sees"},
                 {{self.life.node.text(), stateName(self.state), self.callerAddress,
                   self.domain.text(), std::to_string(m_configuration.revision().value()),
                   std::to_string(m_requests.open()), std::to_string(m_scheduler.cells().size()),
                   std::to_string(turn.members.presentCount())}}};
         },
         true});
    m_queries.add("requests",
                  {[this](const Turn &turn) {
                       Table table {{"node", "request", "target", "organisation", "stage", "age-ms",
                                     "tokens", "server"},
                                    {}};
                       for (const RequestView &view : m_requests.views(turn.now)) {
                           table.rows.push_back({m_settings.life.node.text(),
                                                 std::to_string(view.request.value()),
                                                 view.target.text(), view.organisation,
                                                 stageName(view.stage), milliseconds(view.age),
                                                 std::to_string(view.tokens), view.server.text()});
                       }
                       return table;
                   },
                   true});
    m_queries.add(
        "slots",
        {[this](const Turn &turn) {
             Table table {{"server", "stage", "owner", "request", "age-ms", "scheduler"}, {}};
             for (const GrantView &grant : m_scheduler.grants(turn.now)) {
                 table.rows.push_back({grant.server.text(), grant.stage, grant.owner.node.text(),
                                       std::to_string(grant.request.value()),
                                       milliseconds(grant.age), m_settings.life.node.text()});
             }
             return table;
         },
         true});
    m_queries.add("orders",
                  {[this](const Turn &turn) {
                       Table table {{"target", "cell", "holder", "fence", "safe-for-ms"}, {}};
                       for (const OrderLockView &lock : m_orders.locks(turn.now)) {
                           table.rows.push_back(
                               {lock.cell.target.text(), std::to_string(lock.cell.number),
                                m_settings.life.node.text(), std::to_string(lock.fence),
                                milliseconds(lock.safeFor)});
                       }
                       return table;
                   },
                   true});
    m_queries.add("cells",
                  {[this](const Turn & /*turn*/) {
                       Table table {{"target", "cell", "scheduler"}, {}};
                       for (const Cell &cell : m_scheduler.cells()) {
                           table.rows.push_back({cell.target.text(), std::to_string(cell.number),
                                                 m_settings.life.node.text()});
                       }
                       return table;
                   },
                   true});
}

} // namespace indigoway
