#include "tallyfold/plane/turns/begin_coordinator.hpp"

#include <algorithm>
#include <utility>

#include "tallyfold/plane/turns/request_number.hpp"

namespace tallyfold::turns {

begin_coordinator::begin_coordinator(operation_number number, begin_parameters question,
                                     const store_table& table)
    : number_(number),
      question_(std::move(question)),
      group_(table.group_of(question_.reservation.program)),
      only_group_(table.groups.size() == 1),
      operation_(table.groups[group_], question_.reservation, question_.previous,
                 question_.budget) {}

void begin_coordinator::resend_under_newer_map(const std::vector<store_map>& maps,
                                               const store_map* used) {
    for (const store_map& newer : maps) {
        // A store that has moved to another group replies with that group's map. It would reply the
        // same to a resend until the directory sends a map in which another store replaces it.
        if (used != nullptr && newer.group == used->group && newer.epoch > used->epoch) {
            backoff_.resend_now();
        }
    }
}

void begin_coordinator::on_reply(const begin_reply& reply) {
    resend_under_newer_map(reply.newer_map, &operation_.map());
    operation_.on_reply(reply);
}

void begin_coordinator::on_reply(const history_reply& reply) {
    operation_.on_history(reply);
    if (history_request_due_.has_value()) {
        // The next store is asked at once for texts that are still missing.
        history_request_due_ = instant{};
    }
}

void begin_coordinator::on_reply(const find_reply& reply) {
    if (!search_.has_value()) {
        return;
    }
    for (const store_map& newer : reply.newer_map) {
        resend_under_newer_map(reply.newer_map, search_->map_of(newer.group));
    }
    search_->on_reply(reply);
}

void begin_coordinator::on_store_connected(store_id store) {
    const bool searching = search_.has_value() && !search_->found();
    if (operation_.map().contains(store) || searching) {
        backoff_.resend_now();
    }
}

bool begin_coordinator::previous_not_held() const {
    return operation_.outcome() == begin_outcome::unknown_previous;
}

bool begin_coordinator::is_undecided() const {
    switch (operation_.outcome()) {
        case begin_outcome::pending:
            return true;
        case begin_outcome::unknown_previous: {
            absence_inputs inputs;
            inputs.own_group_after_loss = operation_.map().after_loss;
            inputs.is_only_group = only_group_;
            inputs.denied_by_other_groups = search_.has_value() && search_->held_by_no_group();
            return !is_known_absent(inputs);
        }
        case begin_outcome::admitted:
        case begin_outcome::over_budget:
            return false;
    }
    return false;
}

bool begin_coordinator::cannot_be_decided() const {
    const bool others_deny =
        only_group_ || (search_.has_value() && search_->denied_by_all_stores());
    const bool own_group_answered = !operation_.map().changing() && operation_.unanswered().empty();
    return previous_not_held() && others_deny && own_group_answered;
}

std::string begin_coordinator::turn_to_search_for() const {
    if (only_group_ || !operation_.reserved()) {
        return {};
    }
    if (previous_not_held()) {
        return question_.previous;
    }
    // A store that came from another group may hold a turn of that group without all earlier turns
    // of its history.
    return all_own_stores_asked_ ? operation_.missing_turn() : std::string{};
}

void begin_coordinator::search_other_groups(instant now, const store_table& table) {
    const std::string searched_turn = turn_to_search_for();
    if (searched_turn.empty()) {
        return;
    }
    if (!search_.has_value() || search_->turn() != searched_turn) {
        search_.emplace(table, searched_turn, group_);
        backoff_.resend_now();
    }
    if (search_->found() && !adopts_history_) {
        adopts_history_ = true;
        history_request_due_ = now;
    }
    if (search_->found() && searched_turn == question_.previous) {
        operation_.mark_previous_held();
    }
}

void begin_coordinator::collect_store_requests(const store_table& table,
                                               const store_choice& nearest,
                                               std::vector<addressed_request>& requests) {
    operation_.switch_to_map(table.groups[group_]);
    const store_id source = nearest(operation_.map());
    for (const store_member& member : operation_.unanswered()) {
        begin_request request;
        request.operation = request_number(number_, operation_.map().epoch);
        request.epoch = operation_.map().epoch;
        request.reservation = question_.reservation;
        request.previous = question_.previous;
        request.wants_history = member.id == source;
        if (request.wants_history) {
            request.prompt = question_.prompt;
        }
        requests.push_back({member, std::move(request)});
    }
    if (search_.has_value() && !search_->found()) {
        search_->use_table(table);
        for (const turn_search::store_request& search_request : search_->unanswered(number_)) {
            requests.push_back({search_request.store, search_request.request});
        }
    }
}

std::vector<store_member> begin_coordinator::history_sources() const {
    std::vector<store_member> sources;
    if (search_.has_value()) {
        sources = search_->sources();
    }
    const std::vector<store_member>& own = operation_.map().current;
    sources.insert(sources.end(), own.begin(), own.end());
    return sources;
}

void begin_coordinator::request_history(instant now, std::vector<addressed_request>& requests) {
    const std::string missing = operation_.missing_turn();
    if (!operation_.reserved() || previous_not_held() || missing.empty()) {
        history_request_due_.reset();
        return;
    }
    if (!history_request_due_.has_value()) {
        history_request_due_ = now + history_grace_period;
    }
    if (now < *history_request_due_) {
        return;
    }
    if (missing != requested_turn_) {
        requested_turn_ = missing;
        history_stores_asked_.clear();
        all_own_stores_asked_ = false;
    }
    const std::vector<store_member> sources = history_sources();
    const auto not_asked = [this](const store_member& member) {
        return !history_stores_asked_.contains(member.id);
    };
    auto next = std::find_if(sources.begin(), sources.end(), not_asked);
    if (next == sources.end()) {
        // All stores have been asked. Starts again with the first, since a reply may have been lost
        // or a store may have been down.
        all_own_stores_asked_ = true;
        history_stores_asked_.clear();
        next = sources.begin();
    }
    history_stores_asked_.insert(next->id);
    const operation_number number = request_number(number_, operation_.map().epoch);
    requests.push_back({*next, history_request{number, missing}});
    history_request_due_ = now + history_resend_interval;
}

std::vector<addressed_request> begin_coordinator::take_due_requests(instant now,
                                                                    const store_table& table,
                                                                    const store_choice& nearest) {
    std::vector<addressed_request> requests;
    search_other_groups(now, table);
    if (backoff_.take_due(now)) {
        collect_store_requests(table, nearest, requests);
    }
    request_history(now, requests);
    return requests;
}

instant begin_coordinator::next_due() const {
    return history_request_due_.has_value()
               ? std::min(*history_request_due_, backoff_.next_send_at())
               : backoff_.next_send_at();
}

begin_decision begin_coordinator::outcome() const {
    begin_decision begun;
    begun.used_tokens = operation_.used_tokens();
    begun.reserved_tokens = operation_.reserved_tokens();
    begun.answers = operation_.answers();
    begun.group = group_;
    begun.epoch = operation_.map().epoch;
    begun.holders = operation_.holders();
    if (is_undecided()) {
        return begun;
    }
    switch (operation_.outcome()) {
        case begin_outcome::admitted:
            begun.result = begin_result::admitted;
            for (const turn_record* record : operation_.history()) {
                begun.history.push_back(*record);
            }
            begun.adopted = adopts_history_;
            break;
        case begin_outcome::over_budget:
            begun.result = begin_result::over_budget;
            break;
        case begin_outcome::unknown_previous:
            begun.result = begin_result::unknown_previous;
            break;
        case begin_outcome::pending:
            break;
    }
    return begun;
}

}  // namespace tallyfold::turns
