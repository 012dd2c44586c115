#pragma once

#include <indigoway/events.h>
#include <indigoway/ids.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace indigoway {

class Registry;
class Requests;
class Turn;

/**
 * Finds requests that an engine holds and nobody wants, from the engines' own lists, which the
 * node that schedules a server's cell fetches. A living owner is asked; only what it does not
 * know is cancelled. A dead owner's requests are cancelled after a time in which a wrong
 * suspicion would have been refuted, and not while the store still lists the owner's lease.
 */
class Reclaimer
{
public:
    void report(Turn &turn, const ReportArrived &report, Requests &requests,
                const Registry &registry);
    /** Returns whether the call was one of this subsystem's. */
    bool handleAnswer(Turn &turn, PeerCallNumber call, const PeerOutcome &outcome,
                      Requests &requests);

private:
    struct Sighting
    {
        TimePoint first {};
        int reports = 0;
    };
    struct Question
    {
        ServerName server;
        std::vector<EngineRequestName> requests;
    };

    bool isLongDead(Turn &turn, const NodeLife &owner, const Registry &registry,
                    TimePoint firstSeen) const;

    std::map<ServerName, std::map<EngineRequestName, Sighting>> m_sightings;
    std::map<PeerCallNumber, Question> m_questions;
};

} // namespace indigoway
