#pragma once
/// @file
/// Decides how the stores form groups, which store belongs to which, and when a change of a group
/// is complete. Pure; runs at the directory's leader.
///
/// A group has as many members as outlive the losses to be borne, spread over zones. Stores beyond
/// that stand by, without a group, and take the place of members that are lost or emptied. The
/// number of groups is fixed when they are formed: a program's group follows from it.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/directory/store_heartbeats.hpp"

namespace tallyfold::directory {

struct store_planner_settings {
    /// Stores that may be lost at once.
    std::uint32_t losses = 1;
    /// A store that was silent for this long is replaced when another stands by.
    duration silence = std::chrono::seconds(6);
    /// A store counts as live within this time of its last report.
    duration live = std::chrono::milliseconds(1500);
    /// How long a group counts as one that may lack turns after a majority of its disks was lost:
    /// the longest time that turns are kept, as the directory's configuration says, and what stores
    /// add.
    duration doubt = std::chrono::seconds(75);
    /// At the very first, reports are gathered for this long.
    duration first_gathering = std::chrono::milliseconds(1500);

    /// Stores of a group: a majority of them outlives the losses.
    [[nodiscard]] std::size_t group_size() const { return 2 * losses + 1; }
    /// Groups that so many stores form; each has a store that stands by.
    [[nodiscard]] std::size_t groups_of(std::size_t stores) const {
        return std::max<std::size_t>(1, stores / (group_size() + 1));
    }
};

class store_planner {
  public:
    explicit store_planner(store_planner_settings settings) : settings_(settings) {}

    /// This node has begun to lead: what was heard before says nothing.
    void start(instant now);
    void on_report(const store_report& report, instant now) { stores_.on_report(report, now); }
    /// Notes groups that may lack turns, and takes over how long that counts.
    void watch_losses(const directory_state& state, duration doubt, instant now);
    /// The next change to commit, or nothing.
    [[nodiscard]] std::optional<change_store_groups> plan(const directory_state& state,
                                                          instant now) const;
    /// True when a store's machine may be emptied: enough others remain for all groups.
    [[nodiscard]] bool may_retire(const directory_state& state, const node_name& node) const;
    /// Disks of the node's store, in a group or standing by.
    [[nodiscard]] std::vector<turns::store_id> disks_of(const directory_state& state,
                                                        const node_name& node) const;
    /// Fields of a log line for each group whose change is under way: what it waits for.
    [[nodiscard]] std::vector<std::string> describe_open_changes(const directory_state& state,
                                                                 instant now) const;
    /// False while this leader may not have heard every live store yet.
    [[nodiscard]] bool has_listened(instant now) const {
        return now - stores_.started() >= settings_.live;
    }

  private:
    using member_list = std::vector<turns::store_member>;

    [[nodiscard]] bool live(turns::store_id id, instant now) const;
    [[nodiscard]] bool silent(turns::store_id id, instant now) const;
    /// A disk whose machine has since reported another one is gone.
    [[nodiscard]] bool replaced(const turns::store_member& member, instant now) const;
    [[nodiscard]] bool has_copied(const turns::store_member& member,
                                  const turns::store_map& map) const;
    [[nodiscard]] std::optional<change_store_groups> form_groups(const directory_state& state,
                                                                 instant now) const;
    /// Live stores that may join the group.
    [[nodiscard]] member_list candidates_for(const directory_state& state,
                                             const turns::store_map& map, instant now) const;
    /// The members that the group should have.
    [[nodiscard]] member_list wanted(const directory_state& state, const turns::store_map& map,
                                     instant now) const;
    /// True for members too few to bear the losses, so that a group keeps what it has until a
    /// store stands by.
    [[nodiscard]] bool shrinks(const member_list& members, const turns::store_map& map) const;
    [[nodiscard]] std::optional<turns::store_map> revise(const directory_state& state,
                                                         const turns::store_map& map,
                                                         instant now) const;
    /// True when the change may end: who joins holds a whole copy, and enough of the others do.
    [[nodiscard]] bool copies_suffice(const turns::store_map& map) const;
    /// True when the member's disk is known to be gone: its machine reports another one, or was to
    /// be emptied and has been silent for longer than turns are kept.
    [[nodiscard]] bool lost(const directory_state& state, const turns::store_member& member,
                            instant now) const;
    /// True for a silent member that isn't waited for any more: another takes its place already, or
    /// it has been silent for longer than turns are kept.
    [[nodiscard]] bool given_up(const turns::store_map& map, const turns::store_member& member,
                                instant now) const;
    /// True when disks were lost, the members that may answer don't suffice, and those that are out
    /// of reach are too few to suffice by themselves, so that nothing can be acknowledged
    /// elsewhere.
    [[nodiscard]] bool needs_salvage(const directory_state& state, const turns::store_map& map,
                                     instant now) const;
    /// A change from what survives of such a group; nothing while a member may be back any moment.
    [[nodiscard]] std::optional<turns::store_map> salvage(const directory_state& state,
                                                          const turns::store_map& map,
                                                          instant now) const;
    /// A change that takes in what members hold that were absent and are back.
    [[nodiscard]] std::optional<turns::store_map> take_back(const turns::store_map& map,
                                                            instant now) const;
    /// A group's next map, or nothing.
    [[nodiscard]] std::optional<turns::store_map> plan_group(const directory_state& state,
                                                             const turns::store_map& map,
                                                             instant now) const;
    [[nodiscard]] std::optional<turns::store_map> finish(const directory_state& state,
                                                         const turns::store_map& map,
                                                         instant now) const;

    store_planner_settings settings_;
    store_heartbeats stores_;
    /// Since when this leader has seen a group's map that may lack turns, by the map's epoch.
    std::map<turns::map_epoch, instant> doubted_since_;
};

}  // namespace tallyfold::directory
