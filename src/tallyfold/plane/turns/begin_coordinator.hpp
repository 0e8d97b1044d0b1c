#pragma once
/// @file
/// Begin of one turn: which store receives which request, when requests are sent again, and the
/// outcome. Pure; turn_client sends the requests and passes in the replies.
///
/// Owns the replies received so far. Uses begin_rules for admission and refusal, quorum_tracker for
/// quorums, turn_search for turns of programs of other groups, and resend_backoff for the times of
/// resends.

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

/// Parameters of the begin of a turn.
struct begin_parameters {
    turn_reservation reservation;
    /// Request identifier of the turn to continue; empty for the first turn of a history.
    std::string previous;
    /// Token budget of the program; 0 means unlimited.
    token_count budget = 0;
    /// End points of the prompt's prefixes, shortest first.
    std::vector<scheduling::prefix_point> prompt;
};

enum class begin_result : std::uint8_t {
    admitted,
    /// The turn does not run; its reservation has to be settled.
    over_budget,
    /// No group holds the turn to continue; the caller receives a 404.
    unknown_previous,
    /// Undecided at the deadline; the caller receives a 503.
    unavailable,
};

struct begin_decision {
    begin_result result = begin_result::unavailable;
    /// The conversation history before the turn, oldest first. Set only with `admitted`.
    std::vector<turn_record> history;
    /// True when another group holds part of that history, which then has to be settled along with
    /// the turn.
    bool adopted = false;
    /// Tokens that the program's other turns have used, with the upper bound of those still open.
    token_count used_tokens = 0;
    /// Part of used_tokens that open turns reserve.
    token_count reserved_tokens = 0;
    /// Summary of the replies of the program's group.
    answer_count answers;
    group_number group = 0;
    map_epoch epoch = 0;
    /// Engines that cache a prefix of the prompt, longest prefix first. A hint.
    std::vector<scheduling::cached_prefix> holders;
};

/// A request and the store that it goes to.
struct addressed_request {
    store_member store;
    std::variant<begin_request, history_request, find_request> body;
};

class begin_coordinator {
  public:
    /// Time between a request for missing texts and the request to the next store. As long as
    /// resend_backoff::first_interval, so that loaded stores have time to reply.
    static constexpr duration history_resend_interval = std::chrono::milliseconds(250);
    /// Time after the quorum in which the nearest store's texts may arrive before another store is
    /// asked for them. Three times the usual latency of a begin (5 ms), and short against its time
    /// limit (1.5 s).
    static constexpr duration history_grace_period = std::chrono::milliseconds(15);

    /// Selects the store that returns the history and the engines that cache the prompt; 0 for
    /// none.
    using store_choice = std::function<store_id(const store_map&)>;

    /// @param number the operation; request_number() is formed from it
    /// @param table must be known()
    begin_coordinator(operation_number number, begin_parameters question, const store_table& table);

    void on_reply(const begin_reply& reply);
    void on_reply(const history_reply& reply);
    void on_reply(const find_reply& reply);
    /// Makes a resend due at once after a reconnect, since the store may have missed requests.
    void on_store_connected(store_id store);

    /// True while the outcome is not certain.
    [[nodiscard]] bool is_undecided() const;
    /// True when no further reply can decide the begin: the turn to continue may have been lost,
    /// and every store has replied that it does not hold it.
    [[nodiscard]] bool cannot_be_decided() const;
    /// Returns the requests that are due, and starts their resend intervals.
    std::vector<addressed_request> take_due_requests(instant now, const store_table& table,
                                                     const store_choice& nearest);
    /// Time at which take_due_requests() has to be called again even without a reply.
    [[nodiscard]] instant next_due() const;
    /// Outcome; `unavailable` while undecided.
    [[nodiscard]] begin_decision outcome() const;

  private:
    /// Makes a resend due when `maps` has a newer map of the same group.
    /// @param used the map that the requests were made under; null when the group was not asked
    void resend_under_newer_map(const std::vector<store_map>& maps, const store_map* used);
    /// True when the program's own group does not hold the turn to continue.
    [[nodiscard]] bool previous_not_held() const;
    /// Turn to search for in other groups; empty when the own group holds the whole history.
    [[nodiscard]] std::string turn_to_search_for() const;
    void search_other_groups(instant now, const store_table& table);
    void collect_store_requests(const store_table& table, const store_choice& nearest,
                                std::vector<addressed_request>& requests);
    void request_history(instant now, std::vector<addressed_request>& requests);
    /// Stores that may hold texts of the history, most likely first.
    [[nodiscard]] std::vector<store_member> history_sources() const;

    operation_number number_;
    begin_parameters question_;
    group_number group_;
    bool only_group_;
    begin_operation operation_;
    /// Search for a turn that the program's own group does not hold.
    std::optional<turn_search> search_;
    /// True when part of the history was found in another group.
    bool adopts_history_ = false;
    resend_backoff backoff_;
    /// Time at which another store is asked for missing texts; empty while none are missing.
    std::optional<instant> history_request_due_;
    /// Turn whose texts were requested last, and the stores that were asked for them.
    std::string requested_turn_;
    std::set<store_id> history_stores_asked_;
    /// True once every store of the own group was asked for that turn.
    bool all_own_stores_asked_ = false;
};

}  // namespace tallyfold::turns
