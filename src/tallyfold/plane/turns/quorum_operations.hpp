#pragma once
/// @file
/// What one node that forwards a turn asks of the stores, and when their answers suffice. Pure.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/messages.hpp"

namespace tallyfold::turns {

enum class begin_outcome : std::uint8_t {
    pending,
    /// Reserved; the line of turns before it is known whole.
    admitted,
    /// The program's budget cannot hold the turn.
    over_budget,
    /// No such turn to continue from exists.
    unknown_previous,
};

/// What the stores of a map have answered to one operation, for a log line.
struct answer_count {
    std::size_t answers = 0;
    /// Of these, by members of the map that have made the change durable.
    std::size_t durable = 0;
    /// Of these, by disks that the map doesn't list: they don't count towards a majority.
    std::size_t unlisted = 0;
    /// A change of the group's members is under way, which asks for two majorities.
    bool changing = false;
    /// Turns may have been lost with a majority of the group's disks: one that isn't found is
    /// undecided.
    bool after_loss = false;
};

/// The fields of a log line that tell it.
std::string describe(const answer_count& count);

/// Begins one turn: reserved at a majority of the stores, and judged by their merged answers.
///
/// Two turns of a program that begin at once write to overlapping majorities, so at least one of
/// them sees the other.
class begin_operation {
  public:
    /// @param budget tokens that the program may use; 0 sets no bound
    begin_operation(store_map map, turn_reservation reservation, std::string previous,
                    token_count budget);

    /// Starts again under a newer map; older answers no longer count.
    void use_map(const store_map& map);
    void on_reply(const begin_reply& reply);
    void on_history(const history_reply& reply);
    /// Another group holds the turn that this one continues.
    void previous_found() { previous_held_ = true; }

    [[nodiscard]] begin_outcome outcome() const;
    /// True once the reservation is durable at a majority.
    [[nodiscard]] bool reserved() const;
    /// Stores that have not made the reservation durable yet.
    [[nodiscard]] std::vector<store_member> unanswered() const;
    /// The turn whose texts are still wanted, of stores that may hold them; empty when none is.
    [[nodiscard]] std::string missing_turn() const;
    /// The line before the turn, oldest first. Valid once admitted.
    [[nodiscard]] std::vector<const turn_record*> history() const;
    /// Tokens that the program's other turns have used or may use.
    [[nodiscard]] token_count used_tokens() const;
    /// What of these is reserved by turns that have not ended, refused ones too: they count at
    /// their most until the stores have settled them, so the sum may be above the budget for a
    /// moment.
    [[nodiscard]] token_count reserved_tokens() const;
    /// Engines that hold most of the turn's prompt, as the store told that was asked for it.
    [[nodiscard]] const std::vector<scheduling::cached_prefix>& holders() const { return holders_; }
    [[nodiscard]] const store_map& map() const { return map_; }
    [[nodiscard]] answer_count answers() const;

  private:
    store_map map_;
    turn_reservation reservation_;
    std::string previous_;
    token_count budget_;
    std::set<store_id> answered_;
    std::set<store_id> durable_;
    program_ledger ledger_;
    bool previous_held_ = false;
    std::map<std::string, turn_record> records_;
    std::vector<scheduling::cached_prefix> holders_;
};

/// Ends one turn: durable at a majority of the stores.
class settle_operation {
  public:
    explicit settle_operation(store_map map) : map_(std::move(map)) {}

    void use_map(const store_map& map);
    void on_reply(const settle_reply& reply);
    [[nodiscard]] bool done() const;
    [[nodiscard]] std::vector<store_member> unanswered() const;
    [[nodiscard]] const store_map& map() const { return map_; }
    [[nodiscard]] answer_count answers() const;

  private:
    store_map map_;
    std::set<store_id> answered_;
    std::set<store_id> durable_;
};

}  // namespace tallyfold::turns
