#pragma once
/// @file
/// Which node polls the list of back ends. Pure; directory nodes and forwarders ask it before each
/// poll.
///
/// Each poll of the list is paid for, and all nodes together have a rate. One poller suffices: the
/// directory's leader polls, the other nodes get what has changed from it. They take over one after
/// the other when what they know has grown old: the leader has failed, or can't reach the list.

#include <algorithm>
#include <cstddef>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::discovery {

struct poller_election {
    /// This node leads the directory.
    bool leads = false;
    /// Some list is known here.
    bool known = false;
    /// Since some node polled the list that is known.
    duration age{};
    /// Place among the nodes that don't lead, from 0 on.
    std::size_t rank = 0;

    /// Age of the list at which the first node behind the leader polls. A little above the 1.3 s
    /// that a list polled each second is old at other nodes at most.
    static constexpr duration first_successor_after = std::chrono::milliseconds(1'500);
    /// The same for each further node, so that one poll is told before the next node begins.
    /// Chosen, not measured: a poll and its message take some ms.
    static constexpr duration next_successor_after = std::chrono::milliseconds(150);

    /// True when this node is to poll now.
    [[nodiscard]] bool should_poll() const {
        const auto place = static_cast<std::int64_t>(rank);
        return leads || !known || age > first_successor_after + next_successor_after * place;
    }
};

/// Age of the list at which a forwarder polls it itself: when seven nodes of the directory behind
/// its leader would have polled (1.5 s and six times 0.15 s). Chosen, not measured.
constexpr duration forwarder_polls_after = std::chrono::milliseconds(2'400);

/// True when a forwarder is to poll the list itself. One that has just started waits to be told:
/// hundreds that restart together would exceed the list's rate, and keep each other from it.
/// @param seen when some node polled the list that is known here
/// @param started when this process started
[[nodiscard]] inline bool forwarder_polls(instant seen, instant started, instant now) {
    return now - std::max(seen, started) > forwarder_polls_after;
}

}  // namespace tallyfold::discovery
