#pragma once
/// @file
/// How one turn begins: which store is asked for what, when it is asked again, and the outcome.
/// Pure; turn_client sends the questions and hands in the replies.
///
/// Owns the answers gathered so far. Relies on begin_rules for admission and refusal, on
/// answer_tally for quorums, on turn_search for turns of other groups' programs, and on
/// resend_backoff for the time of each resend.

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

/// What a forwarder wants to know before it runs a turn.
struct turn_question {
    turn_reservation reservation;
    /// Request of the turn to continue; empty for the first of a history.
    std::string previous;
    /// Tokens that the program may use; 0 sets no bound.
    token_count budget = 0;
    /// Ends of the prompt's parts, shortest first.
    std::vector<scheduling::prefix_point> prompt;
};

enum class begin_result : std::uint8_t {
    admitted,
    /// Nothing of the turn runs; its reservation is to be settled.
    over_budget,
    /// No group holds the turn to continue: the answer is 404.
    unknown_previous,
    /// Undecided when the time was over: the answer is 503.
    unavailable,
};

struct begun_turn {
    begin_result result = begin_result::unavailable;
    /// The conversation history before the turn, oldest first. Only with `admitted`.
    std::vector<turn_record> history;
    /// True when another group keeps some of that history: it has to be settled along with the
    /// turn.
    bool adopted = false;
    /// Tokens that the program's other turns have used or may use, as the decision counted them.
    token_count used_tokens = 0;
    /// Of these, by turns that have not ended.
    token_count reserved_tokens = 0;
    /// What the stores of the program's group have answered.
    answer_count answers;
    group_number group = 0;
    map_epoch epoch = 0;
    /// Engines that hold most of the prompt, as far as the stores know: a hint.
    std::vector<scheduling::cached_prefix> holders;
};

/// What is to be sent to a store.
struct store_question {
    store_member store;
    std::variant<begin_request, history_request, find_request> body;
};

class turn_beginning {
  public:
    /// A store that was asked for missing texts is given this long before the next one is asked.
    /// Chosen, not measured: as long as resend_backoff::first_interval, so that an answer of the
    /// loaded stores of an incident (0.28 s at the median) is waited for about once.
    static constexpr duration history_resend_interval = std::chrono::milliseconds(250);
    /// How much later than the quorum the nearest store's texts may come before another store is
    /// asked for them too. Chosen, not measured: three times the 5 ms that an undisturbed begin
    /// takes at the median, and short against the 1.5 s that a begin may take.
    static constexpr duration history_grace_period = std::chrono::milliseconds(15);

    /// Chooses the store that sends the history and the prompt's holders; 0 for none.
    using store_choice = std::function<store_id(const store_map&)>;

    /// @param number of the operation, for its replies
    /// @param table has to be known
    turn_beginning(operation_number number, turn_question question, const store_table& table);

    void on_reply(const begin_reply& reply);
    void on_reply(const history_reply& reply);
    void on_reply(const find_reply& reply);
    /// The store can be reached again: what it may have missed is sent again at once.
    void on_store_connected(store_id store);

    /// True until the outcome is certain.
    [[nodiscard]] bool undecided() const;
    /// True when it is undecided only because the turn to continue may have been lost: all stores
    /// have denied it, so no further answer can come.
    [[nodiscard]] bool cannot_be_decided() const;
    /// What is to be sent now.
    std::vector<store_question> due(instant now, const store_table& table,
                                    const store_choice& nearest);
    /// When due() has to be called again, whether replies come or not.
    [[nodiscard]] instant next_due() const;
    /// How it ended; unavailable while it is undecided.
    [[nodiscard]] begun_turn outcome() const;

  private:
    /// @param used the map under which the group was asked; null when it wasn't
    void resend_under_newer_map(const std::vector<store_map>& maps, const store_map* used);
    /// The own group doesn't hold the turn to continue.
    [[nodiscard]] bool previous_not_held() const;
    /// The turn that other groups are to be asked for; empty when the own group has all.
    [[nodiscard]] std::string turn_to_search_for() const;
    void search_other_groups(instant now, const store_table& table);
    void collect_store_requests(const store_table& table, const store_choice& nearest,
                                std::vector<store_question>& requests);
    void request_history(instant now, std::vector<store_question>& requests);
    /// Stores that may hold texts of the history, the likeliest first.
    [[nodiscard]] std::vector<store_member> history_sources() const;

    operation_number number_;
    turn_question question_;
    group_number group_;
    bool only_group_;
    begin_operation operation_;
    /// For a turn that the program's own group doesn't hold.
    std::optional<turn_search> search_;
    /// Some of the history was found in another group.
    bool adopts_history_ = false;
    resend_backoff backoff_;
    /// When another store is asked for missing texts; nothing while none is missing.
    std::optional<instant> history_request_due_;
    /// The turn whose texts were requested last, and the stores that were asked for them.
    std::string requested_turn_;
    std::set<store_id> history_stores_asked_;
    /// Each store of the own group was asked for that turn.
    bool all_own_stores_asked_ = false;
};

}  // namespace tallyfold::turns
