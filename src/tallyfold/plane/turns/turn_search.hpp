#pragma once
/// @file
/// The search for a turn of which only its identifier is known, not its program. Pure.
///
/// A program's identifier gives the group that keeps its turns. A program that continues another
/// program's turn, as some do after a loss of all state, names a turn that any group may keep. One
/// store that holds it suffices to find it. That no store holds it is certain only once a quorum of
/// every group has denied it, since a turn that was answered whole lies at a quorum of its group.
///
/// Owns the stores' denials, each under the map that the store was asked under.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

class turn_search {
  public:
    /// @param own_group the group that has been asked already, and doesn't hold the turn
    turn_search(const store_table& table, std::string request, group_number own_group);

    /// Asks the groups again whose map is newer in `table`.
    void use_table(const store_table& table);
    void on_reply(const find_reply& reply);

    [[nodiscard]] const std::string& turn() const { return request_; }
    /// True once a store is known that holds the turn.
    [[nodiscard]] bool found() const { return !holders_.empty(); }
    /// Stores that hold the turn, then those of their groups, which may hold earlier turns of the
    /// history that the holders lack.
    [[nodiscard]] std::vector<store_member> sources() const;
    /// True once it is certain that no group holds the turn: a quorum of each has denied it, and
    /// none may have lost turns with its disks.
    [[nodiscard]] bool held_by_no_group() const;
    /// True once every store of every group, none of which changes, has denied the turn: no
    /// further answer can come.
    [[nodiscard]] bool denied_by_all_stores() const;
    /// Requests to the stores that haven't answered under their group's map.
    struct store_request {
        store_member store;
        find_request request;
    };
    [[nodiscard]] std::vector<store_request> unanswered(operation_number operation) const;
    /// The map under which a group is asked; null for one that isn't asked.
    [[nodiscard]] const store_map* map_of(group_number group) const;

  private:
    struct searched_group {
        store_map map;
        /// Stores that don't hold the turn.
        std::set<store_id> denials;
        /// A store of the group holds the turn.
        bool holds = false;
    };

    std::string request_;
    std::map<group_number, searched_group> groups_;
    std::vector<store_member> holders_;
};

}  // namespace tallyfold::turns
