#include "tallyfold/plane/turns/quorum_operations.hpp"

#include <algorithm>

namespace tallyfold::turns {

namespace {

/// True when `answered` suffices for a write under `map`.
bool write_quorum(const store_map& map, const std::set<store_id>& answered) {
    return map.suffices_of_current(answered) &&
           (!map.changing() || is_majority(map.next, answered));
}

std::vector<store_member> members_without(const store_map& map,
                                          const std::set<store_id>& answered) {
    std::vector<store_member> left;
    for (const store_member& member : map.all()) {
        if (!answered.contains(member.id)) {
            left.push_back(member);
        }
    }
    return left;
}

answer_count count_answers(const store_map& map, const std::set<store_id>& answered,
                           const std::set<store_id>& durable) {
    answer_count count;
    count.answers = answered.size();
    count.changing = map.changing();
    count.after_loss = map.after_loss;
    for (const store_id store : answered) {
        const bool listed = map.holds(store);
        count.durable += listed && durable.contains(store) ? 1 : 0;
        count.unlisted += listed ? 0 : 1;
    }
    return count;
}

}  // namespace

std::string describe(const answer_count& count) {
    return "store_answers=" + std::to_string(count.answers) +
           " durable=" + std::to_string(count.durable) +
           " unlisted=" + std::to_string(count.unlisted) +
           " changing=" + (count.changing ? "yes" : "no") +
           " after_loss=" + (count.after_loss ? "yes" : "no");
}

begin_operation::begin_operation(store_map map, turn_reservation reservation, std::string previous,
                                 token_count budget)
    : map_(std::move(map)),
      reservation_(std::move(reservation)),
      previous_(std::move(previous)),
      budget_(budget) {}

void begin_operation::use_map(const store_map& map) {
    if (map.epoch <= map_.epoch) {
        return;
    }
    map_ = map;
    answered_.clear();
    durable_.clear();
}

void begin_operation::on_reply(const begin_reply& reply) {
    merge(ledger_, reply.ledger);
    previous_held_ = previous_held_ || reply.holds_previous;
    for (const turn_record& record : reply.history.records) {
        records_.emplace(record.request, record);
    }
    if (!reply.holders.empty()) {
        holders_ = reply.holders;
    }
    answered_.insert(reply.store);
    if (reply.durable) {
        durable_.insert(reply.store);
    }
}

void begin_operation::on_history(const history_reply& reply) {
    for (const turn_record& record : reply.history.records) {
        records_.emplace(record.request, record);
    }
}

bool begin_operation::reserved() const {
    return write_quorum(map_, durable_);
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
    if (!reserved()) {
        return begin_outcome::pending;
    }
    if (!previous_.empty() && !previous_held_) {
        return begin_outcome::unknown_previous;
    }
    if (budget_ > 0 && used_tokens() + reservation_.max_tokens > budget_) {
        return begin_outcome::over_budget;
    }
    return missing_turn().empty() ? begin_outcome::admitted : begin_outcome::pending;
}

answer_count begin_operation::answers() const {
    return count_answers(map_, answered_, durable_);
}

std::vector<store_member> begin_operation::unanswered() const {
    return members_without(map_, durable_);
}

std::vector<const turn_record*> begin_operation::history() const {
    std::vector<const turn_record*> line;
    std::string next = previous_;
    while (!next.empty()) {
        const turn_record& record = records_.at(next);
        line.push_back(&record);
        next = record.previous;
    }
    std::reverse(line.begin(), line.end());
    return line;
}

void settle_operation::use_map(const store_map& map) {
    if (map.epoch > map_.epoch) {
        map_ = map;
        answered_.clear();
        durable_.clear();
    }
}

void settle_operation::on_reply(const settle_reply& reply) {
    if (reply.newer_map.empty()) {
        answered_.insert(reply.store);
    }
    if (reply.durable) {
        durable_.insert(reply.store);
    }
}

answer_count settle_operation::answers() const {
    return count_answers(map_, answered_, durable_);
}

bool settle_operation::done() const {
    return write_quorum(map_, durable_);
}

std::vector<store_member> settle_operation::unanswered() const {
    return members_without(map_, durable_);
}

}  // namespace tallyfold::turns
