#pragma once
/// @file
/// Beginning and settling one turn at the stores of its program's group: gathers their answers and
/// says when they suffice. Pure; turn_beginning and turn_client ask the stores.
///
/// The rules stand in begin_rules (admission) and answer_tally (quorums).

#include <map>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/answer_tally.hpp"
#include "tallyfold/plane/turns/begin_rules.hpp"
#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

/// Begins one turn: reserved at a quorum of the stores, and judged by their merged answers.
class begin_operation {
  public:
    /// @param previous the turn to continue; empty for the first of a history
    /// @param budget tokens that the program may use; 0 sets no bound
    begin_operation(store_map map, turn_reservation reservation, std::string previous,
                    token_count budget);

    /// Starts again under a newer map; older answers no longer count.
    void use_map(const store_map& map) { tally_.use_map(map); }
    /// A reply that brings a newer map has done nothing, and doesn't count.
    void on_reply(const begin_reply& reply);
    void on_history(const history_reply& reply);
    /// Another group holds the turn that this one continues.
    void mark_previous_held() { previous_held_ = true; }

    [[nodiscard]] begin_outcome outcome() const;
    /// True once the reservation is durable at a write quorum.
    [[nodiscard]] bool reserved() const { return tally_.reached_quorum(); }
    /// Stores that have not made the reservation durable yet.
    [[nodiscard]] std::vector<store_member> unanswered() const { return tally_.unanswered(); }
    /// The turn whose texts are still wanted, of stores that may hold them; empty when none is.
    [[nodiscard]] std::string missing_turn() const;
    /// The history before the turn, oldest first. Valid once admitted.
    [[nodiscard]] std::vector<const turn_record*> history() const;
    /// Tokens that the program's other turns have used or may use.
    [[nodiscard]] token_count used_tokens() const;
    /// What of these is reserved by turns that have not ended, refused ones too: they count in full
    /// until the stores have settled them, so the sum may be above the budget for a moment.
    [[nodiscard]] token_count reserved_tokens() const;
    /// Engines that hold most of the turn's prompt, from the store that was asked for them.
    [[nodiscard]] const std::vector<scheduling::cached_prefix>& holders() const { return holders_; }
    [[nodiscard]] const store_map& map() const { return tally_.map(); }
    [[nodiscard]] answer_count answers() const { return tally_.count(); }

  private:
    void store_records(const history_part& part);

    answer_tally tally_;
    turn_reservation reservation_;
    std::string previous_;
    token_count budget_;
    program_ledger ledger_;
    bool previous_held_ = false;
    std::map<std::string, turn_record> records_;
    std::vector<scheduling::cached_prefix> holders_;
};

/// Ends one turn: durable at a quorum of the stores.
class settle_operation {
  public:
    explicit settle_operation(store_map map) : tally_(std::move(map)) {}

    /// Starts again under a newer map; older answers no longer count.
    void use_map(const store_map& map) { tally_.use_map(map); }
    /// A reply that brings a newer map has done nothing, and doesn't count.
    void on_reply(const settle_reply& reply);
    [[nodiscard]] bool done() const { return tally_.reached_quorum(); }
    /// Stores that have not made the end durable yet.
    [[nodiscard]] std::vector<store_member> unanswered() const { return tally_.unanswered(); }
    [[nodiscard]] const store_map& map() const { return tally_.map(); }
    [[nodiscard]] answer_count answers() const { return tally_.count(); }

  private:
    answer_tally tally_;
};

}  // namespace tallyfold::turns
