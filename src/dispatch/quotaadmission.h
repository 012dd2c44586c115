#pragma once

#include "dispatch/admissionstep.h"
#include "dispatch/dispatchstate.h"
#include "quotas/quotaenforcer.h"

#include <cstdint>
#include <optional>

namespace indigoway::dispatch {

/** Admits requests within the quotas of their organisations, and rejects those beyond with 429. */
class QuotaAdmission
{
public:
    QuotaAdmission(DispatchState &state, TimePoint startedAt)
        : m_state(state)
        , m_quotas(state.settings.quotas, startedAt)
    { }

    void setEnabled(bool isEnabled) { m_quotas.setEnabled(isEnabled); }
    void setKeeper(const std::optional<NodeName> &name) { m_quotas.setKeeper(name); }
    void setNodeCount(std::uint32_t nodes, TimePoint now) { m_quotas.setNodeCount(nodes, now); }

    AdmissionStep begin(Step &step, OpenRequest &request);
    AdmissionOutcomes messageArrived(Step &step, const QuotaKeeperAnswered &event);
    /** Returns unused quota, sends due messages and returns due decisions. */
    AdmissionOutcomes tick(Step &step);
    std::optional<TimePoint> nextTick() const { return m_quotas.nextTick(); }
    void abandon(RequestNumber request)
    {
        m_quotas.abandonQuery(quotas::QuotaQueryId(request.value()));
    }

private:
    /** Applies the keeper's decision on a pending request. */
    AdmissionOutcomes decide(Step &step, const std::vector<quotas::QuotaResult> &results);
    void reject(Step &step, OpenRequest &request, Duration roomAfter,
                const quotas::QuotaState &state);

    DispatchState &m_state;
    quotas::QuotaEnforcer m_quotas;
};

} // namespace indigoway::dispatch
