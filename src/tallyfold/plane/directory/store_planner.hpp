#pragma once
/// @file
/// Plans changes of the store groups at the directory's leader: obtains each group's next map from
/// the rules (group_members, group_recovery) and combines the maps into one command. Also assesses
/// whether a store may be retired (store_retirement). Owns the store reports. Pure.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/directory/store_retirement.hpp"
#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

/// Groups that should change their members but have too few live stores to choose from.
struct unrepaired_groups {
    std::size_t count = 0;
    /// Log fields that tell what the first of them lacks; empty without one.
    std::string first;
};

class store_planner {
  public:
    explicit store_planner(store_planner_settings settings) : settings_(settings) {}

    /// Handles the start of this node's leadership; earlier reports are dropped.
    void start(instant now);
    void on_report(const store_report& report, instant now) { heartbeats_.on_report(report, now); }
    /// Sets the longest retention of turns, and records since when groups may be incomplete after a
    /// loss. To be called before each plan().
    void update_incomplete_groups(const directory_state& state, duration retention, instant now);
    /// Sets whether a group that lost a majority of its disks may recover from the survivors. Not
    /// allowed while some node cannot read the map of such a group.
    void allow_recovery(bool allowed) { recovery_allowed_ = allowed; }
    /// True when a group has lost a majority of its disks, according to the reports received.
    [[nodiscard]] bool any_group_needs_recovery(const directory_state& state, instant now) const;
    /// The next command to commit; empty for none.
    [[nodiscard]] std::optional<change_store_groups> plan(const directory_state& state,
                                                          instant now) const;
    /// Assesses whether the node's store may be retired now.
    /// @param pending nodes of other orders that are not yet applied
    [[nodiscard]] retirement_assessment assess_retirement(const directory_state& state,
                                                          const node_name& node,
                                                          const std::set<node_name>& pending,
                                                          instant now) const;
    /// Disks of the node's store, each listed once, whether in a group or spare.
    [[nodiscard]] std::vector<turns::store_id> disks_of(const directory_state& state,
                                                        const node_name& node, instant now) const;
    /// The order to commit before the next change when a node whose store is being retired reports
    /// a new disk; empty for none.
    [[nodiscard]] std::optional<retire_store> plan_retirement(const directory_state& state,
                                                              instant now) const;
    /// The groups that cannot be repaired now because too few live stores are available.
    [[nodiscard]] unrepaired_groups find_unrepaired_groups(const directory_state& state,
                                                           instant now) const;
    /// Log fields for each group with an open change: what the change waits for.
    [[nodiscard]] std::vector<std::string> describe_open_changes(const directory_state& state,
                                                                 instant now) const;

  private:
    /// The group's next map, with epoch 0; empty for no change.
    [[nodiscard]] std::optional<turns::store_map> plan_group(const store_view& view,
                                                             const turns::store_map& map,
                                                             instant now) const;
    /// True once all turns on the group's lost disks have expired, so that a turn that no store
    /// holds is known not to exist.
    [[nodiscard]] bool lost_turns_have_expired(const turns::store_map& map, instant now) const;

    store_planner_settings settings_;
    store_heartbeats heartbeats_;
    bool recovery_allowed_ = true;
    /// Since when this leader has seen a group's map that may lack turns, by epoch of the map.
    std::map<turns::map_epoch, instant> incomplete_since_;
};

}  // namespace tallyfold::directory
