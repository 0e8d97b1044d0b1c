#pragma once
/// @file
/// Which directory node reads the list of back ends. Pure.
///
/// Each call of the list is paid for, and all nodes together have a rate. One reader suffices: the
/// leader reads, the others ask the leader for what has changed. The others take over one after
/// the other when what they know has grown old: the leader is gone, or can't reach the list.

#include <cstddef>

#include "tallyfold/common/time.hpp"

namespace tallyfold::listing {

struct list_duty {
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

}  // namespace tallyfold::listing
