#pragma once
/// @file
/// Plans the changes of the stores' groups at the directory's leader: owns what it has heard of the
/// stores, asks the rules (group_members, group_recovery) for each group's next map, and joins the
/// maps into one command for the log. Also answers whether a store may be emptied. Pure.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/plane/directory/store_view.hpp"

namespace tallyfold::directory {

class store_planner {
  public:
    explicit store_planner(store_planner_settings settings) : settings_(settings) {}

    /// This node has begun to lead: reports of before count for nothing.
    void start(instant now);
    void on_report(const store_report& report, instant now) { heartbeats_.on_report(report, now); }
    /// Takes over the longest time that any store keeps a turn, and notes since when which groups
    /// may lack turns. To be called before each plan().
    void watch_losses(const directory_state& state, duration retention, instant now);
    /// Whether a group that lost a majority of its disks may go on from the survivors: not while a
    /// node is met that couldn't read the map of such a group.
    void allow_recovery(bool allowed) { recovery_allowed_ = allowed; }
    /// True when a group has lost a majority of its disks, as far as this leader has heard.
    [[nodiscard]] bool any_group_needs_recovery(const directory_state& state, instant now) const;
    /// The next change to commit, or nothing.
    [[nodiscard]] std::optional<change_store_groups> plan(const directory_state& state,
                                                          instant now) const;
    /// True when a store's machine may be emptied: enough others remain for all groups.
    [[nodiscard]] bool may_retire(const directory_state& state, const node_name& node) const;
    /// Disks of the node's store, in a group or standing by, each once.
    [[nodiscard]] std::vector<turns::store_id> disks_of(const directory_state& state,
                                                        const node_name& node) const;
    /// Fields of a log line for each group whose change is under way: what it waits for.
    [[nodiscard]] std::vector<std::string> describe_open_changes(const directory_state& state,
                                                                 instant now) const;
    /// False while this leader may not have heard every live store yet.
    [[nodiscard]] bool has_listened(instant now) const {
        return now - heartbeats_.leading_since() >= settings_.live_timeout;
    }

  private:
    /// Disks that are members of a group or have reported; one may be listed twice.
    [[nodiscard]] store_list known_stores(const directory_state& state) const;
    /// The group's next map, with epoch 0, or nothing.
    [[nodiscard]] std::optional<turns::store_map> plan_group(const store_view& view,
                                                             const turns::store_map& map,
                                                             instant now) const;
    /// True once everything that the group's lost disks held would have expired, so that a turn
    /// that no store holds is known not to exist.
    [[nodiscard]] bool lost_turns_have_expired(const turns::store_map& map, instant now) const;

    store_planner_settings settings_;
    store_heartbeats heartbeats_;
    bool recovery_allowed_ = true;
    /// Since when this leader has seen a group's map that may lack turns, by the map's epoch.
    std::map<turns::map_epoch, instant> incomplete_since_;
};

}  // namespace tallyfold::directory
