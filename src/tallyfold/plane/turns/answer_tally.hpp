#pragma once
/// @file
/// Counts what the stores of one group have answered to one operation, and decides when their
/// answers suffice. Pure.
///
/// Owns the map under which the group is asked. Relies on the caller to hand in only answers to its
/// own operation.

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// What the stores of a map have answered to one operation, for a log line.
struct answer_count {
    /// Stores that have answered.
    std::size_t answers = 0;
    /// Of these, members of the map that have made the change durable.
    std::size_t durable = 0;
    /// Of these, disks that the map doesn't list: they don't count towards a majority.
    std::size_t unlisted = 0;
    /// A change of the group's members is under way, which needs two majorities.
    bool changing = false;
    /// Turns may have been lost with a majority of the group's disks: a turn that isn't found is
    /// undecided.
    bool after_loss = false;
};

/// Fields of a log line.
std::string describe(const answer_count& count);

/// True when a change that is durable at the stores `durable` can't be lost under `map`.
///
/// While the members change, it takes a quorum of the old members and a majority of the new ones:
/// whichever list is in force afterwards, each later quorum has a store that holds the change.
[[nodiscard]] bool is_write_quorum(const store_map& map, const std::set<store_id>& durable);

class answer_tally {
  public:
    explicit answer_tally(store_map map) : map_(std::move(map)) {}

    /// Asks under a newer map from now on; what was answered before doesn't count any more. An
    /// older or equal map is ignored.
    void use_map(const store_map& map);
    /// @param durable the store has synced the change
    void add(store_id store, bool durable);

    /// True once the change is durable at a write quorum.
    [[nodiscard]] bool reached_quorum() const { return is_write_quorum(map_, durable_); }
    /// Members that have not made the change durable: they are to be asked, again if need be.
    [[nodiscard]] std::vector<store_member> unanswered() const;
    [[nodiscard]] answer_count count() const;
    [[nodiscard]] const store_map& map() const { return map_; }

  private:
    store_map map_;
    std::set<store_id> answered_;
    std::set<store_id> durable_;
};

}  // namespace tallyfold::turns
