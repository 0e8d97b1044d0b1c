#pragma once
/// @file
/// How one turn begins: what is asked of which store, when it is asked again, and how it ends.
/// Pure; a shell sends the questions and hands in the replies.

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/turns/quorum_operations.hpp"
#include "tallyfold/plane/turns/resend_backoff.hpp"
#include "tallyfold/plane/turns/turn_search.hpp"

namespace tallyfold::turns {

struct turn_question {
    turn_reservation reservation;
    std::string previous;
    /// 0 sets no bound.
    token_count budget = 0;
    /// Ends of the prompt's parts, shortest first.
    std::vector<scheduling::prefix_point> prompt;
};

enum class begin_result : std::uint8_t { admitted, over_budget, unknown_previous, unavailable };

struct begun_turn {
    begin_result result = begin_result::unavailable;
    /// The line before the turn, oldest first.
    std::vector<turn_record> chain;
    /// True when another group keeps that line: it has to be settled along with the turn.
    bool adopted = false;
    /// What the decision was made from.
    token_count used_tokens = 0;
    /// Of these, by turns that have not ended.
    token_count reserved_tokens = 0;
    /// What the stores of the program's group have said.
    answer_count answers;
    group_number group = 0;
    map_epoch epoch = 0;
    /// Engines that hold most of the prompt, as the stores know it.
    std::vector<scheduling::cached_prefix> holders;
};

/// What is to be sent to a store.
struct store_question {
    store_member store;
    std::variant<begin_request, history_request, find_request> body;
};

class turn_beginning {
  public:
    /// Another store is asked for texts that are missing after this time.
    static constexpr duration history_resend_interval = std::chrono::milliseconds(250);
    /// The nearest store may be this much later than the majority before another sends the texts.
    static constexpr duration history_grace = std::chrono::milliseconds(15);

    /// Chooses the store that tells the line and the prompt's holders; 0 for none.
    using store_choice = std::function<store_id(const store_map&)>;

    /// @param table has to be known
    turn_beginning(operation_number number, turn_question question, const store_table& table);

    void on_reply(const begin_reply& reply);
    void on_reply(const history_reply& reply);
    void on_reply(const find_reply& reply);
    /// The store can be reached again: what it may have missed is asked again at once.
    void reachable(store_id store);

    /// True until it is sure how the beginning ends.
    [[nodiscard]] bool undecided() const;
    /// True when it is undecided only since the turn to go on from may have been lost: all stores
    /// have answered, and waiting longer tells nothing more.
    [[nodiscard]] bool cannot_be_decided() const;
    /// What is to be sent now.
    std::vector<store_question> due(instant now, const store_table& table,
                                    const store_choice& nearest);
    /// When due() has to be called again, whether replies come or not.
    [[nodiscard]] instant next_due() const;
    /// How it ended; unavailable while it is undecided.
    [[nodiscard]] begun_turn outcome() const;

  private:
    void resend_under_newer_map(const std::vector<store_map>& maps, const store_map* known);
    /// The turn that other groups are to be asked for; empty when the own group has all.
    [[nodiscard]] std::string wanted_elsewhere() const;
    void search_elsewhere(instant now, const store_table& table);
    void ask_stores(const store_table& table, const store_choice& nearest,
                    std::vector<store_question>& questions);
    void request_history(instant now, std::vector<store_question>& questions);
    /// Stores that may hold texts of the line, the likeliest first.
    [[nodiscard]] std::vector<store_member> history_sources() const;

    operation_number number_;
    turn_question question_;
    group_number group_;
    bool only_group_;
    begin_operation operation_;
    /// For a turn that the program's own group doesn't hold.
    std::optional<turn_search> search_;
    /// Something of the line was found in another group.
    bool adopts_ = false;
    resend_backoff schedule_;
    /// When another store is asked for missing texts; nothing while none is missing.
    std::optional<instant> history_request_due_;
    /// The turn whose text is wanted, and the stores that were asked for it.
    std::string requested_turn_;
    std::set<store_id> asked_for_history_;
    /// Each store of the own group was asked for it.
    bool own_group_asked_ = false;
};

}  // namespace tallyfold::turns
