#include "tallyfold/plane/turns/quorum_operations.hpp"

#include <algorithm>

#include "tallyfold/plane/turns/request_number.hpp"

namespace tallyfold::turns {

begin_operation::begin_operation(store_map map, turn_reservation reservation, std::string previous,
                                 token_count budget)
    : tally_(std::move(map)),
      reservation_(std::move(reservation)),
      previous_(std::move(previous)),
      budget_(budget) {}

void begin_operation::store_records(const history_part& part) {
    for (const turn_record& record : part.records) {
        records_.emplace(record.request, record);
    }
}

void begin_operation::on_reply(const begin_reply& reply) {
    if (!reply.newer_map.empty()) {
        return;
    }
    merge(ledger_, reply.ledger);
    previous_held_ = previous_held_ || reply.holds_previous;
    store_records(reply.history);
    if (!reply.holders.empty()) {
        holders_ = reply.holders;
    }
    if (made_under(reply.operation, tally_.map().epoch)) {
        tally_.add(reply.store, reply.durable);
    }
}

void begin_operation::on_history(const history_reply& reply) {
    store_records(reply.history);
}

token_count begin_operation::used_tokens() const {
    token_count used = 0;
    for (const auto& [request, entry] : ledger_) {
        used += request == reservation_.request ? 0 : entry.tokens;
    }
    return used;
}

token_count begin_operation::reserved_tokens() const {
    token_count reserved = 0;
    for (const auto& [request, entry] : ledger_) {
        const bool open = request != reservation_.request && !entry.settled;
        reserved += open ? entry.tokens : 0;
    }
    return reserved;
}

std::string begin_operation::missing_turn() const {
    std::string next = previous_;
    while (!next.empty()) {
        const auto found = records_.find(next);
        if (found == records_.end()) {
            return next;
        }
        next = found->second.previous;
    }
    return {};
}

begin_outcome begin_operation::outcome() const {
    begin_inputs inputs;
    inputs.reserved = reserved();
    if (!previous_.empty()) {
        inputs.previous = previous_held_ ? previous_turn::held : previous_turn::not_held;
    }
    inputs.history_complete = missing_turn().empty();
    inputs.used_tokens = used_tokens();
    inputs.max_tokens = reservation_.max_tokens;
    inputs.budget = budget_;
    return decide_begin(inputs);
}

std::vector<const turn_record*> begin_operation::history() const {
    std::vector<const turn_record*> records;
    std::string next = previous_;
    while (!next.empty()) {
        const turn_record& record = records_.at(next);
        records.push_back(&record);
        next = record.previous;
    }
    std::reverse(records.begin(), records.end());
    return records;
}

void settle_operation::on_reply(const settle_reply& reply) {
    if (reply.newer_map.empty()) {
        tally_.add(reply.store, reply.durable);
    }
}

}  // namespace tallyfold::turns
