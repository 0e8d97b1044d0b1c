#pragma once
/// @file
/// The search for a turn of which only its identifier is known, not its program. Pure.
///
/// A program's identifier gives the group that keeps its turns. A program that goes on with another
/// program's turn, as some do after a loss of everything, names a turn that any group may keep. One
/// store that holds it suffices to find it; that nobody does is sure only once a majority of every
/// group has said so, since a turn that was answered whole lies at a majority of its group.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

class turn_search {
  public:
    /// @param own the group that has been asked already, and doesn't hold the turn
    turn_search(const store_table& table, std::string request, group_number own);

    /// Asks groups again whose map is newer now.
    void use_table(const store_table& table);
    void on_reply(const find_reply& reply);

    [[nodiscard]] const std::string& turn() const { return request_; }
    /// True once a store is known that holds the turn.
    [[nodiscard]] bool found() const { return !holders_.empty(); }
    /// Stores that hold the turn, then those of their groups, which may hold what of the line
    /// before it the holders lack.
    [[nodiscard]] std::vector<store_member> sources() const;
    /// True once it is sure that no group holds the turn.
    [[nodiscard]] bool held_by_no_group() const;
    /// True once every store of every group, none of which changes, has said that it doesn't hold
    /// the turn: asking again tells nothing more.
    [[nodiscard]] bool denied_by_all_stores() const;
    /// Requests to the stores that haven't answered under their group's map.
    struct question {
        store_member store;
        find_request request;
    };
    [[nodiscard]] std::vector<question> unanswered(operation_number operation) const;
    /// The map under which a group is asked; null for one that isn't asked.
    [[nodiscard]] const store_map* map_of(group_number group) const;

  private:
    struct asked_group {
        store_map map;
        /// Stores that said that they don't hold the turn.
        std::set<store_id> without;
        /// A store of the group holds the turn.
        bool holds = false;
    };

    std::string request_;
    std::map<group_number, asked_group> groups_;
    std::vector<store_member> holders_;
};

}  // namespace tallyfold::turns
