#include "tallyfold/plane/turns/store_fsm.hpp"

#include <algorithm>

#include "tallyfold/plane/turns/store_rules.hpp"

namespace tallyfold::turns {

namespace {

/// Approximate size of the texts in one page of a copy, in bytes. Small, so that a page does not
/// delay other requests for long.
constexpr std::size_t copy_page_bytes = 128U << 10U;
/// Maximum number of changes that one comparison reads; 9 bytes each in the reply.
constexpr std::size_t max_compared_changes = 4'096;

}  // namespace

store_fsm::store_fsm(store_id self, const store_map& stored_map, turn_table recovered,
                     std::uint64_t incarnation)
    : self_(self),
      incarnation_(incarnation),
      turns_(std::move(recovered)),
      durable_epoch_(stored_map.epoch) {
    adopt_newer_map(stored_map);
    map_write_pending_ = false;
}

std::vector<store_map> store_fsm::newer_map_than(map_epoch epoch) const {
    return accepts_epoch(map_.epoch, epoch) ? std::vector<store_map>{}
                                            : std::vector<store_map>{map_};
}

std::vector<addressed_reply> store_fsm::receive(peer_token from, const begin_request& request) {
    std::vector<store_map> newer = newer_map_than(request.epoch);
    if (newer.empty()) {
        queue_.push_back({from, request});
        return {};
    }
    begin_reply reply;
    reply.operation = request.operation;
    reply.store = self_;
    reply.newer_map = std::move(newer);
    std::vector<addressed_reply> replies;
    replies.push_back({from, std::move(reply)});
    return replies;
}

std::vector<addressed_reply> store_fsm::receive(peer_token from, const settle_request& request) {
    for (const scheduling::prefix_point& point : request.held.points) {
        prompt_holders_.stored(request.held.engine, point);
    }
    std::vector<store_map> newer = newer_map_than(request.epoch);
    if (newer.empty()) {
        queue_.push_back({from, request});
        return {};
    }
    return {{from, settle_reply{request.operation, self_, false, std::move(newer)}}};
}

std::vector<addressed_reply> store_fsm::receive(peer_token from,
                                                const history_request& request) const {
    return {{from, history_reply{request.operation, self_, turns_.history_up_to(request.request)}}};
}

std::vector<addressed_reply> store_fsm::receive(peer_token from,
                                                const find_request& request) const {
    return {{from, find_reply{request.operation, self_, newer_map_than(request.epoch),
                              turns_.holds_turn(request.request)}}};
}

std::vector<addressed_reply> store_fsm::receive(peer_token from, const copy_request& request) {
    // No write under an older map is accepted after this. Writes accepted before are ahead in the
    // queue, so that the copy includes them.
    adopt_newer_map(request.map);
    queue_.push_back({from, request});
    return {};
}

std::vector<addressed_reply> store_fsm::receive(peer_token from, const comparison_request& request,
                                                instant now) const {
    comparison_reply reply;
    reply.operation = request.operation;
    reply.store = self_;
    const bool is_known_order = request.after.incarnation == incarnation_;
    summary_filter filter;
    filter.group = request.group;
    filter.group_count = std::max<group_number>(1, request.group_count);
    filter.changed_until = now - comparison_lag;
    filter.now = now;
    filter.limit = max_compared_changes;
    summary_page page = turns_.changed_after(is_known_order ? request.after.sequence : 0, filter);
    reply.changed = std::move(page.changed);
    reply.position = {incarnation_, page.position};
    reply.complete = page.complete;
    return {{from, std::move(reply)}};
}

std::vector<addressed_reply> store_fsm::receive(peer_token from, const records_request& request,
                                                instant now) const {
    record_page page = turns_.records_of(request.keys, copy_page_bytes, now);
    return {{from, records_reply{request.operation, self_, std::move(page.changes), page.covered}}};
}

void store_fsm::receive(const copy_reply& reply) {
    queue_.push_back({0, reply});
}

void store_fsm::receive(const records_reply& reply) {
    queue_.push_back({0, reply});
}

bool store_fsm::adopt_newer_map(const store_map& map) {
    if (map.epoch <= map_.epoch) {
        return false;
    }
    map_ = map;
    map_write_pending_ = true;
    copy_progress_.reset();
    copy_positions_.clear();
    if (map.changing()) {
        copy_progress_.emplace(map, self_);
        if (!copy_progress_->required()) {
            copy_progress_.reset();
        }
    }
    return true;
}

bool store_fsm::learn_table(const store_table& table) {
    if (table.known()) {
        group_count_ = static_cast<group_number>(table.groups.size());
    }
    std::vector<const store_map*> concerning;
    for (const store_map& map : table.groups) {
        if (concerns_store(map, self_, map_)) {
            concerning.push_back(&map);
        }
    }
    // In ascending order, so that a store that moved to another group leaves the old one first.
    std::sort(
        concerning.begin(), concerning.end(),
        [](const store_map* left, const store_map* right) { return left->epoch < right->epoch; });
    bool newer = false;
    for (const store_map* map : concerning) {
        newer = adopt_newer_map(*map) || newer;
    }
    return newer;
}

void store_fsm::append_changes(const queued_message& work, std::vector<turn_change>& changes) {
    if (const auto* begin = std::get_if<begin_request>(&work.body)) {
        changes.emplace_back(begin->reservation);
    } else if (const auto* settle = std::get_if<settle_request>(&work.body)) {
        changes.emplace_back(settle->settlement);
    } else if (const auto* copy = std::get_if<copy_reply>(&work.body)) {
        changes.insert(changes.end(), copy->changes.begin(), copy->changes.end());
    } else if (const auto* records = std::get_if<records_reply>(&work.body)) {
        changes.insert(changes.end(), records->changes.begin(), records->changes.end());
    }
}

store_write store_fsm::begin_write() {
    store_write write;
    if (map_write_pending_) {
        write.map = map_;
        map_write_pending_ = false;
        writing_epoch_ = map_.epoch;
    }
    write_batch_ = std::move(queue_);
    queue_.clear();
    for (const queued_message& work : write_batch_) {
        append_changes(work, write.changes);
    }
    return write;
}

std::vector<scheduling::cached_prefix> store_fsm::holders_of(
    const std::vector<scheduling::prefix_point>& prompt) const {
    std::vector<scheduling::cached_prefix> holders = prompt_holders_.find(prompt);
    holders.resize(std::min(holders.size(), max_reported_holders));
    return holders;
}

begin_reply store_fsm::answer(const begin_request& request, bool durable) const {
    begin_reply reply;
    reply.operation = request.operation;
    reply.store = self_;
    reply.durable = durable;
    reply.ledger = turns_.ledger_of(request.reservation.program);
    reply.holds_previous = !request.previous.empty() && turns_.holds_turn(request.previous);
    if (request.wants_history && !request.previous.empty()) {
        reply.history = turns_.history_up_to(request.previous);
    }
    reply.holders = holders_of(request.prompt);
    return reply;
}

copy_reply store_fsm::answer(const copy_request& request, instant now) const {
    copy_reply reply;
    reply.store = self_;
    reply.epoch = request.map.epoch;
    change_page page = turns_.page_after(request.after, request.held, copy_page_bytes, now);
    reply.changes = std::move(page.changes);
    reply.next = std::move(page.next);
    return reply;
}

void store_fsm::on_copy_page(const copy_reply& reply) {
    if (!copy_progress_.has_value() || reply.epoch != copy_progress_->epoch()) {
        return;
    }
    if (!reply.next.empty()) {
        copy_positions_[reply.store] = reply.next;
        return;
    }
    copy_progress_->mark_complete(reply.store);
    if (copy_progress_->complete()) {
        copied_epoch_ = copy_progress_->epoch();
        copy_progress_.reset();
    }
}

void store_fsm::apply_batch(const std::vector<queued_message>& batch, instant now) {
    durable_epoch_ = std::max(durable_epoch_, writing_epoch_);
    for (const queued_message& work : batch) {
        std::vector<turn_change> changes;
        append_changes(work, changes);
        const bool is_copy = std::holds_alternative<copy_reply>(work.body) ||
                             std::holds_alternative<records_reply>(work.body);
        for (const turn_change& change : changes) {
            if (is_copy) {
                turns_.apply_copy(change, now);
            } else {
                turns_.apply(change, now);
            }
        }
    }
}

std::vector<addressed_reply> store_fsm::finish_write(bool durable, instant now) {
    const std::vector<queued_message> batch = std::move(write_batch_);
    write_batch_.clear();
    if (durable) {
        apply_batch(batch, now);
    } else if (writing_epoch_ > durable_epoch_) {
        map_write_pending_ = true;
    }
    std::vector<addressed_reply> replies;
    for (const queued_message& work : batch) {
        if (const auto* begin = std::get_if<begin_request>(&work.body)) {
            replies.push_back({work.from, answer(*begin, durable)});
        } else if (const auto* settle = std::get_if<settle_request>(&work.body)) {
            replies.push_back({work.from, settle_reply{settle->operation, self_, durable, {}}});
        } else if (const auto* copy = std::get_if<copy_request>(&work.body)) {
            if (may_send_copy(durable_epoch_, copy->map.epoch)) {
                replies.push_back({work.from, answer(*copy, now)});
            }
        } else if (const auto* page = std::get_if<copy_reply>(&work.body); durable && page) {
            on_copy_page(*page);
        }
    }
    return replies;
}

std::optional<copy_fetch> store_fsm::next_copy() {
    if (!copy_progress_.has_value()) {
        return std::nullopt;
    }
    const std::vector<store_member> sources = copy_progress_->remaining_sources();
    if (sources.empty()) {
        return std::nullopt;
    }
    const store_member& source = sources[source_offset_ % sources.size()];
    const auto from = copy_positions_.find(source.id);
    if (from == copy_positions_.end()) {
        held_requests_ = turns_.complete_requests();
    }
    copy_request request;
    request.map = copy_progress_->map();
    request.held = held_requests_;
    request.after = from == copy_positions_.end() ? std::string{} : from->second;
    return copy_fetch{source, std::move(request)};
}

}  // namespace tallyfold::turns
