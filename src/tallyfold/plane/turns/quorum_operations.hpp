#pragma once
/// @file
/// Begin and settlement of one turn at the stores of its program's group: merges their replies and
/// decides when they suffice. Pure; begin_coordinator and turn_client send the requests.
///
/// begin_rules has the rules of admission, quorum_tracker those of quorums.

#include <map>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/begin_rules.hpp"
#include "tallyfold/plane/turns/messages.hpp"
#include "tallyfold/plane/turns/quorum_tracker.hpp"

namespace tallyfold::turns {

/// Reserves one turn at a quorum of the stores, and decides on it by their merged replies.
class begin_operation {
  public:
    /// @param previous the turn to continue; empty for the first turn of a history
    /// @param budget token budget of the program; 0 means unlimited
    begin_operation(store_map map, turn_reservation reservation, std::string previous,
                    token_count budget);

    /// Restarts under a newer map; earlier replies no longer count towards the quorum.
    void switch_to_map(const store_map& map) { tally_.switch_to_map(map); }
    /// Handles a reply. A reply with a newer map is ignored, since its request had no effect. What
    /// a store holds counts in any case; a reply made under an earlier map does not count towards
    /// the quorum, since the store may have copied from others after it.
    void on_reply(const begin_reply& reply);
    void on_history(const history_reply& reply);
    /// Records that another group holds the turn that this one continues.
    void mark_previous_held() { previous_held_ = true; }

    [[nodiscard]] begin_outcome outcome() const;
    /// True once the reservation is durable at a write quorum.
    [[nodiscard]] bool reserved() const { return tally_.reached_quorum(); }
    /// Stores that have not made the reservation durable yet.
    [[nodiscard]] std::vector<store_member> unanswered() const { return tally_.unanswered(); }
    /// Latest turn of the history whose texts have not been received; empty when none are missing.
    [[nodiscard]] std::string missing_turn() const;
    /// The history before the turn, oldest first. Valid once admitted.
    [[nodiscard]] std::vector<const turn_record*> history() const;
    /// Tokens that the program's other turns have used, with the upper bound of those still open.
    [[nodiscard]] token_count used_tokens() const;
    /// Part of used_tokens() that open turns reserve. Refused turns count in full until they are
    /// settled, so the sum may exceed the budget for a short time.
    [[nodiscard]] token_count reserved_tokens() const;
    /// Engines that cache a prefix of the turn's prompt, longest prefix first.
    [[nodiscard]] const std::vector<scheduling::cached_prefix>& holders() const { return holders_; }
    [[nodiscard]] const store_map& map() const { return tally_.map(); }
    [[nodiscard]] answer_count answers() const { return tally_.count(); }

  private:
    void store_records(const history_part& part);

    quorum_tracker tally_;
    turn_reservation reservation_;
    std::string previous_;
    token_count budget_;
    program_ledger ledger_;
    bool previous_held_ = false;
    std::map<std::string, turn_record> records_;
    std::vector<scheduling::cached_prefix> holders_;
};

/// Makes the settlement of one turn durable at a quorum of the stores.
class settle_operation {
  public:
    explicit settle_operation(store_map map) : tally_(std::move(map)) {}

    /// Restarts under a newer map; earlier replies no longer count towards the quorum.
    void switch_to_map(const store_map& map) { tally_.switch_to_map(map); }
    /// Handles a reply. A reply with a newer map is ignored, since its request had no effect. A
    /// reply made under an earlier map counts, since the settlement stays on the store's disk.
    void on_reply(const settle_reply& reply);
    [[nodiscard]] bool is_durable() const { return tally_.reached_quorum(); }
    /// Stores that have not made the settlement durable yet.
    [[nodiscard]] std::vector<store_member> unanswered() const { return tally_.unanswered(); }
    [[nodiscard]] const store_map& map() const { return tally_.map(); }
    [[nodiscard]] answer_count answers() const { return tally_.count(); }

  private:
    quorum_tracker tally_;
};

}  // namespace tallyfold::turns
