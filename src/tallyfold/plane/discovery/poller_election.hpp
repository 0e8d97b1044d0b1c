#pragma once
/// @file
/// Which node reads the list of back ends. Pure.
///
/// Each call of the list is paid for, and all nodes together have a rate. One reader suffices: the
/// leader reads, the others ask the leader for what has changed. The others take over one after
/// the other when what they know has grown old: the leader is gone, or can't reach the list.

#include <algorithm>
#include <cstddef>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::discovery {

struct poller_election {
    /// This node leads the directory.
    bool leads = false;
    /// Some list is known here.
    bool known = false;
    /// Since some node saw the list that is known.
    duration age{};
    /// Place among the nodes that don't lead, from 0 on.
    std::size_t rank = 0;

    /// What a reader tells each second is at most 1.3 s old at the others; a little more than that.
    static constexpr duration first_successor_after = std::chrono::milliseconds(1'500);
    static constexpr duration next_successor_after = std::chrono::milliseconds(150);

    [[nodiscard]] bool reads() const {
        const auto place = static_cast<std::int64_t>(rank);
        return leads || !known || age > first_successor_after + next_successor_after * place;
    }
};

/// A forwarder reads a list that nobody has seen for this long: after the last of the directory's
/// nodes had its turn.
constexpr duration forwarder_reads_after = std::chrono::milliseconds(2'400);

/// True when a forwarder is to read the list itself. One that has just started waits to be told:
/// hundreds that restart together would exceed the list's rate, and keep each other from it.
[[nodiscard]] inline bool forwarder_reads(instant seen, instant started, instant now) {
    return now - std::max(seen, started) > forwarder_reads_after;
}

}  // namespace tallyfold::discovery
