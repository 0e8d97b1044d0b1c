#pragma once
/// @file
/// Snapshot of what the directory's leader knows about the stores, with the queries that the group
/// rules need. Refers to the planner's settings and reports and to the replicated state, which must
/// outlive it. Pure.

#include <algorithm>
#include <cstdint>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"
#include "tallyfold/plane/directory/store_heartbeats.hpp"

namespace tallyfold::directory {

/// Stores report to each directory node every 300 ms; the timeouts are multiples of that.
struct store_planner_settings {
    /// Number of simultaneous store losses to tolerate; setting `losses_borne`.
    std::uint32_t losses = 1;
    /// Silence after which a group may go on without what only this store holds, and after which a
    /// retired store may take its place. Longer than a restart.
    duration silence_timeout = std::chrono::seconds(6);
    /// A store counts as live for this long after its last report; then a spare begins to copy in
    /// its place. A new leader waits as long before it judges which stores are live.
    duration live_timeout = std::chrono::milliseconds(1500);
    /// Longest retention of a turn at any store; afterwards, all turns on a lost disk have expired.
    /// store_planner::update_incomplete_groups() sets it from the configuration before each plan;
    /// this default applies until then: a minute, and the margin of 15 s that stores add.
    duration retention = std::chrono::seconds(75);
    /// Time for which reports are collected before the first groups are formed, so that they
    /// include all stores.
    duration formation_wait = std::chrono::milliseconds(1500);

    /// Number of members of a group, so that a majority survives the tolerated losses.
    [[nodiscard]] std::size_t group_size() const { return 2 * losses + 1; }
    /// Number of groups for this many stores; leaves one spare store for each.
    [[nodiscard]] std::size_t group_count(std::size_t stores) const {
        return std::max<std::size_t>(1, stores / (group_size() + 1));
    }
};

using store_list = std::vector<turns::store_member>;

[[nodiscard]] bool has_id(const store_list& members, turns::store_id id);
/// Appends the stores of `added` that `members` does not list.
void add_missing(store_list& members, const store_list& added);
/// True when both lists contain the same stores, in any order.
[[nodiscard]] bool same_members(store_list left, store_list right);
/// Copies the group's map with other members. Its epoch is 0 until the change is planned.
[[nodiscard]] turns::store_map with_members(const turns::store_map& map, store_list current,
                                            store_list next);

class store_view {
  public:
    store_view(const store_planner_settings& settings, const store_heartbeats& heartbeats,
               const directory_state& state, instant now)
        : settings_(settings), heartbeats_(heartbeats), state_(state), now_(now) {}

    /// False while reports of live stores may still be missing, shortly after this node became
    /// leader.
    [[nodiscard]] bool has_observed_all_stores() const {
        return leading_for() >= settings_.live_timeout;
    }
    [[nodiscard]] duration leading_for() const { return now_ - heartbeats_.leading_since(); }

    /// True when the store has reported within `live_timeout`.
    [[nodiscard]] bool is_live(turns::store_id id) const;
    /// True when the store has not reported for `silence_timeout`.
    [[nodiscard]] bool is_silent(turns::store_id id) const;
    /// Time since the store's last report, or since leadership began when it has not reported.
    [[nodiscard]] duration age_of_report(turns::store_id id) const;
    /// True when the store has been silent for longer than the retention of turns.
    [[nodiscard]] bool is_silent_beyond_retention(turns::store_id id) const;
    /// True when the disk's node has since reported a different disk.
    [[nodiscard]] bool is_replaced(const turns::store_member& member) const;
    /// True when an operator has retired the store.
    [[nodiscard]] bool is_retired(turns::store_id id) const;
    [[nodiscard]] bool is_in_a_group(turns::store_id id) const;
    /// True when the store holds a complete copy for exactly this map.
    [[nodiscard]] bool has_copied(const turns::store_member& member,
                                  const turns::store_map& map) const;
    /// True when the member's disk is known to be lost: its node reports a different disk, or it is
    /// retired and has been silent for longer than the retention. Silence alone is not enough: an
    /// unreachable member may hold the only copy of a turn, and may be part of another majority.
    [[nodiscard]] bool is_lost(const turns::store_member& member) const;

    /// The store as last reported; `known` when it has not reported.
    [[nodiscard]] const turns::store_member& latest(const turns::store_member& known) const {
        return heartbeats_.latest(known);
    }
    /// Live stores, whether in a group or spare.
    [[nodiscard]] store_list live_stores() const;
    /// Disks that are members of a group or have reported; may contain duplicates.
    [[nodiscard]] store_list known_stores() const;

    [[nodiscard]] const directory_state& state() const { return state_; }
    [[nodiscard]] const store_planner_settings& settings() const { return settings_; }

  private:
    const store_planner_settings& settings_;
    const store_heartbeats& heartbeats_;
    const directory_state& state_;
    instant now_;
};

}  // namespace tallyfold::directory
