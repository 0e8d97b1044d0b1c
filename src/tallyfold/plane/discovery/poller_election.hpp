#pragma once
/// @file
/// Decides which node polls the list of back ends. Pure; directory nodes and forwarders call it
/// before each poll.
///
/// Requests of the list are billed, and all nodes together share a rate limit, so one node polls:
/// - The directory's leader polls; the other nodes receive changes from it.
/// - When their list becomes too old, because the leader has failed or cannot reach the list, the
///   other directory nodes take over in order of rank, and forwarders after them.

#include <algorithm>
#include <cstddef>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::discovery {

struct poller_election {
    /// True when this node is the directory's leader.
    bool leads = false;
    /// True when this node holds a list.
    bool known = false;
    /// Time since some node polled the list that this node holds.
    duration age{};
    /// Rank of this node among the directory nodes that do not lead, from 0.
    std::size_t rank = 0;

    /// Age of the list at which the node of rank 0 polls. Above the maximum age at other nodes of a
    /// list that is polled every second.
    static constexpr duration first_successor_age = std::chrono::milliseconds(1'500);
    /// Additional age for each further rank, long enough to receive the list polled by the previous
    /// rank.
    static constexpr duration successor_age_step = std::chrono::milliseconds(150);

    /// True when this node should poll now.
    [[nodiscard]] bool should_poll() const {
        const auto place = static_cast<std::int64_t>(rank);
        return leads || !known || age > first_successor_age + successor_age_step * place;
    }
};

/// Age of the list at which a forwarder polls it itself; later than seven directory nodes in order
/// of rank.
constexpr duration forwarder_poll_age = std::chrono::milliseconds(2'400);

/// True when a forwarder should poll the list itself. A forwarder that has just started first waits
/// to receive the list: if many restarted together and polled, they would exceed the list's rate
/// limit.
/// @param seen when some node last polled the list that this forwarder holds
/// @param started when this process started
[[nodiscard]] inline bool should_forwarder_poll(instant seen, instant started, instant now) {
    return now - std::max(seen, started) > forwarder_poll_age;
}

}  // namespace tallyfold::discovery
