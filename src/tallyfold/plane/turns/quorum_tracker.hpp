#pragma once
/// @file
/// Counts the replies of one group's stores to one operation, and decides when they form a quorum.
/// Pure.
///
/// Owns the map that the operation runs under. The caller passes in replies to this operation only.

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// Summary of the replies to one operation, for a log line.
struct answer_count {
    /// Number of stores that have replied.
    std::size_t answers = 0;
    /// Number of these that are members of the map and have made the change durable.
    std::size_t durable = 0;
    /// Number of these that the map does not list, such as a replaced disk; they do not count
    /// towards a quorum.
    std::size_t unlisted = 0;
    /// True while the group's members change, which requires two majorities.
    bool changing = false;
    /// True when turns may have been lost with a majority of the group's disks: a turn that is not
    /// found is then undecided.
    bool after_loss = false;
};

/// Formats the counts as fields of a log line.
std::string describe(const answer_count& count);

/// True when a change that is durable at the stores `durable` cannot be lost under `map`.
///
/// While the members change, this requires a quorum of the current members and a majority of the
/// next ones: whichever list is in force afterwards, each later quorum includes a store that holds
/// the change.
[[nodiscard]] bool is_write_quorum(const store_map& map, const std::set<store_id>& durable);

class quorum_tracker {
  public:
    explicit quorum_tracker(store_map map) : map_(std::move(map)) {}

    /// Switches to a newer map and discards earlier replies. An older or equal map is ignored.
    void switch_to_map(const store_map& map);
    /// Records a reply. @param durable true when the store has synced the change
    void add(store_id store, bool durable);

    /// True once the change is durable at a write quorum.
    [[nodiscard]] bool reached_quorum() const { return is_write_quorum(map_, durable_); }
    /// Members that have not made the change durable; requests are sent to these.
    [[nodiscard]] std::vector<store_member> unanswered() const;
    [[nodiscard]] answer_count count() const;
    [[nodiscard]] const store_map& map() const { return map_; }

  private:
    store_map map_;
    std::set<store_id> answered_;
    std::set<store_id> durable_;
};

}  // namespace tallyfold::turns
