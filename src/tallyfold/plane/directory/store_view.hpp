#pragma once
/// @file
/// What a directory's leader knows of the stores at one moment, as the questions that the rules for
/// groups ask. Refers to the planner's settings and heartbeats and to the replicated state, which
/// outlive it. Pure.

#include <algorithm>
#include <cstdint>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"
#include "tallyfold/plane/directory/store_heartbeats.hpp"

namespace tallyfold::directory {

/// Stores report to each directory node every 300 ms.
struct store_planner_settings {
    /// Stores that may be lost at once; `losses_borne` of the settings file.
    std::uint32_t losses = 1;
    /// A store that was silent for this long is replaced when another stands by. Chosen, not
    /// measured: twenty reports, longer than a restart takes, since each replacement copies a
    /// group's turns.
    duration silence_timeout = std::chrono::seconds(6);
    /// A store counts as live within this time of its last report, and a new leader listens for as
    /// long before it judges who is silent. Chosen, not measured: five reports.
    duration live_timeout = std::chrono::milliseconds(1500);
    /// The longest time that any store keeps a turn. After it nothing can be missing any more that
    /// was on a lost disk. store_planner::watch_losses() sets it from the configuration before each
    /// plan; this value holds before the first. Chosen, not measured: a minute and the 15 s that
    /// stores add.
    duration retention = std::chrono::seconds(75);
    /// At the very first start reports are gathered for this long, so that the groups are formed of
    /// all stores. Chosen, not measured: five reports.
    duration formation_wait = std::chrono::milliseconds(1500);

    /// Stores of a group: a majority of them outlives the losses.
    [[nodiscard]] std::size_t group_size() const { return 2 * losses + 1; }
    /// Groups that so many stores form; each has one store that stands by.
    [[nodiscard]] std::size_t group_count(std::size_t stores) const {
        return std::max<std::size_t>(1, stores / (group_size() + 1));
    }
};

using store_list = std::vector<turns::store_member>;

[[nodiscard]] bool has_id(const store_list& members, turns::store_id id);
/// True when both lists hold the same stores, in any order.
[[nodiscard]] bool same_members(store_list left, store_list right);
/// The group's map with other members; its epoch is given when the change is planned.
[[nodiscard]] turns::store_map with_members(const turns::store_map& map, store_list current,
                                            store_list next);

class store_view {
  public:
    store_view(const store_planner_settings& settings, const store_heartbeats& heartbeats,
               const directory_state& state, instant now)
        : settings_(settings), heartbeats_(heartbeats), state_(state), now_(now) {}

    /// False while this leader may not have heard every live store yet.
    [[nodiscard]] bool has_listened() const { return leading_for() >= settings_.live_timeout; }
    /// Time since this node began to lead.
    [[nodiscard]] duration leading_for() const { return now_ - heartbeats_.leading_since(); }

    /// The store has reported lately (`live_timeout`).
    [[nodiscard]] bool is_live(turns::store_id id) const;
    /// The store hasn't reported for so long that another may take its place (`silence_timeout`).
    [[nodiscard]] bool is_silent(turns::store_id id) const;
    /// The store has been silent for longer than turns are kept.
    [[nodiscard]] bool is_silent_beyond_retention(turns::store_id id) const;
    /// The disk is gone: its machine has since reported another one.
    [[nodiscard]] bool is_replaced(const turns::store_member& member) const;
    /// An operator has ordered the store to be emptied.
    [[nodiscard]] bool is_retired(turns::store_id id) const;
    /// The store belongs to some group.
    [[nodiscard]] bool is_in_a_group(turns::store_id id) const;
    /// The store holds a whole copy under this very map.
    [[nodiscard]] bool has_copied(const turns::store_member& member,
                                  const turns::store_map& map) const;
    /// True when the member's disk is known to be gone: its machine reports another one, or an
    /// operator had it emptied and it has been silent for longer than turns are kept. Silence alone
    /// proves nothing: a member that is cut off may hold the only copy of a turn, and may be half
    /// of another majority.
    [[nodiscard]] bool is_lost(const turns::store_member& member) const;

    /// The store as it reported last.
    [[nodiscard]] const turns::store_member& latest(const turns::store_member& known) const {
        return heartbeats_.latest(known);
    }
    /// Stores that are live, in a group or standing by.
    [[nodiscard]] store_list live_stores() const;

    [[nodiscard]] const directory_state& state() const { return state_; }
    [[nodiscard]] const store_planner_settings& settings() const { return settings_; }

  private:
    const store_planner_settings& settings_;
    const store_heartbeats& heartbeats_;
    const directory_state& state_;
    instant now_;
};

}  // namespace tallyfold::directory
