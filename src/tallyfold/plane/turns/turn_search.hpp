#pragma once
/// @file
/// Search for a turn of which only the identifier is known, not the program. Pure.
///
/// A program's identifier determines the group that stores its turns. A program that continues a
/// turn of another program, as some do after a loss of all state, names a turn that any group may
/// hold. One store that holds it ends the search. The turn is certainly absent only once a quorum
/// of every group has denied it, since an answered turn is stored at a quorum of its group.
///
/// Owns the denials of the stores, each of which is valid under the map of its request.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

class turn_search {
  public:
    /// @param own_group the group that was already asked and does not hold the turn
    turn_search(const store_table& table, std::string request, group_number own_group);

    /// Restarts the search in the groups whose map in `table` is newer.
    void use_table(const store_table& table);
    /// Handles a reply. A denial counts only under the map that it was made under.
    void on_reply(const find_reply& reply);

    [[nodiscard]] const std::string& turn() const { return request_; }
    /// True once a store has replied that it holds the turn.
    [[nodiscard]] bool found() const { return !holders_.empty(); }
    /// Stores that hold the turn, then the members of their groups, which may hold earlier turns of
    /// the history that the former lack.
    [[nodiscard]] std::vector<store_member> sources() const;
    /// True once the turn is certainly absent: a quorum of each group has denied it, and no group
    /// may have lost turns with its disks.
    [[nodiscard]] bool held_by_no_group() const;
    /// True once every store has denied the turn and no group is changing its members: no further
    /// reply can change the result.
    [[nodiscard]] bool denied_by_all_stores() const;
    /// A request and the store that it goes to.
    struct store_request {
        store_member store;
        find_request request;
    };
    /// Requests to the stores that have not denied the turn under their group's current map.
    [[nodiscard]] std::vector<store_request> unanswered(operation_number operation) const;
    /// Map that requests to a group are made under; null when the group is not searched.
    [[nodiscard]] const store_map* map_of(group_number group) const;

  private:
    struct searched_group {
        store_map map;
        /// Stores that have replied that they do not hold the turn.
        std::set<store_id> denials;
        /// True when a store of the group holds the turn.
        bool holds = false;
    };

    std::string request_;
    std::map<group_number, searched_group> groups_;
    std::vector<store_member> holders_;
};

}  // namespace tallyfold::turns
