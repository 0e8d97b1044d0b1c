#include "tallyfold/plane/turns/turn_table.hpp"

#include <algorithm>
#include <limits>

namespace tallyfold::turns {

namespace {

/// Estimated size of one turn beside its texts: keys, and the overhead of strings and map nodes.
constexpr std::size_t turn_overhead_bytes = 256;

std::size_t size_of(const turn_record& record) {
    return record.input.size() + record.output.size() + turn_overhead_bytes;
}

/// Time until `expires_at`, rounded up; 0 when it has passed.
std::uint32_t remaining_ms(instant expires_at, instant now) {
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(expires_at - now).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(remaining, 0, std::numeric_limits<std::uint32_t>::max()));
}

}  // namespace

turn_table::program_entry& turn_table::extend_retention(const std::string& program,
                                                        std::uint32_t retention_ms,
                                                        change_origin origin, instant now) {
    program_entry& entry = programs_[program];
    const duration retention = std::chrono::milliseconds(retention_ms);
    entry.retention = std::max(entry.retention, retention);
    const duration kept = origin == change_origin::copy ? retention : entry.retention;
    entry.expires_at = std::max(entry.expires_at, now + kept);
    return entry;
}

bool turn_table::merge_cost(program_entry& entry, const std::string& request,
                            const ledger_entry& cost) {
    const auto [position, added] = entry.requests.try_emplace(request, cost);
    if (added) {
        return true;
    }
    const ledger_entry before = position->second;
    merge(position->second, cost);
    return position->second != before;
}

void turn_table::store_record(const turn_settlement& settlement, const turn_record& record,
                              instant now) {
    const instant expires_at = now + std::chrono::milliseconds(settlement.retention_ms);
    const auto [position, added] = turns_.try_emplace(record.request);
    if (!added) {
        return;
    }
    position->second = {record, settlement.program, expires_at};
    bytes_ += size_of(record);
    changes_.record(record.request, now);
}

void turn_table::reserve(const turn_reservation& reservation, change_origin origin, instant now) {
    program_entry& entry =
        extend_retention(reservation.program, reservation.retention_ms, origin, now);
    requests_[reservation.request] = reservation.program;
    if (merge_cost(entry, reservation.request, {reservation.max_tokens, false})) {
        changes_.record(reservation.request, now);
    }
}

void turn_table::settle(const turn_settlement& settlement, change_origin origin, instant now) {
    program_entry& entry =
        extend_retention(settlement.program, settlement.retention_ms, origin, now);
    if (!holds_only_records(settlement)) {
        requests_[settlement.request] = settlement.program;
        if (merge_cost(entry, settlement.request, {settlement.tokens, true})) {
            changes_.record(settlement.request, now);
        }
    }
    if (settlement.record.has_value()) {
        store_record(settlement, *settlement.record, now);
    }
    for (const turn_record& record : settlement.adopted) {
        store_record(settlement, record, now);
        // A turn that is already held keeps its own program and its cost there.
        requests_.try_emplace(record.request, settlement.program);
    }
}

void turn_table::apply(const turn_change& change, change_origin origin, instant now) {
    if (const auto* reservation = std::get_if<turn_reservation>(&change)) {
        reserve(*reservation, origin, now);
    } else {
        settle(std::get<turn_settlement>(change), origin, now);
    }
}

void turn_table::apply(const turn_change& change, instant now) {
    apply(change, change_origin::request, now);
}

void turn_table::apply_copy(const turn_change& change, instant now) {
    apply(change, change_origin::copy, now);
}

program_ledger turn_table::ledger_of(const std::string& program) const {
    const auto found = programs_.find(program);
    return found == programs_.end() ? program_ledger{} : found->second.requests;
}

bool turn_table::holds_turn(const std::string& request) const {
    return turns_.contains(request);
}

history_part turn_table::history_up_to(const std::string& request) const {
    history_part part;
    std::string next = request;
    while (!next.empty()) {
        const auto found = turns_.find(next);
        if (found == turns_.end()) {
            part.missing = next;
            break;
        }
        part.records.push_back(found->second.record);
        next = found->second.record.previous;
    }
    return part;
}

void turn_table::extend_histories() {
    for (const auto& [request, entry] : turns_) {
        const std::string* previous = &entry.record.previous;
        while (!previous->empty()) {
            const auto found = turns_.find(*previous);
            if (found == turns_.end() || found->second.expires_at >= entry.expires_at) {
                break;
            }
            found->second.expires_at = entry.expires_at;
            previous = &found->second.record.previous;
        }
    }
}

void turn_table::expire(instant now, duration margin) {
    extend_histories();
    std::vector<std::string> removed;
    std::erase_if(turns_, [&](const auto& entry) {
        const bool expired = now > entry.second.expires_at + margin;
        if (expired) {
            bytes_ -= size_of(entry.second.record);
            removed.push_back(entry.first);
        }
        return expired;
    });
    std::erase_if(programs_, [&](const auto& entry) {
        const bool expired = now > entry.second.expires_at + margin;
        if (expired) {
            for (const auto& [request, cost] : entry.second.requests) {
                removed.push_back(request);
            }
        }
        return expired;
    });
    if (removed.empty()) {
        return;
    }
    rebuild_request_index();
    for (const std::string& request : removed) {
        if (!requests_.contains(request)) {
            changes_.erase(request);
        }
    }
}

request_summary turn_table::summarize(const std::string& request, const std::string& program,
                                      instant now) const {
    request_summary summary;
    summary.key = key_of(request);
    const auto entry = programs_.find(program);
    if (entry != programs_.end() && entry->second.expires_at > now) {
        const auto cost = entry->second.requests.find(request);
        summary.in_ledger = cost != entry->second.requests.end();
        summary.settled = summary.in_ledger && cost->second.settled;
    }
    const auto turn = turns_.find(request);
    summary.has_record = turn != turns_.end() && turn->second.expires_at > now;
    return summary;
}

summary_page turn_table::changed_after(change_sequence position,
                                       const summary_filter& filter) const {
    summary_page page;
    page.position = position;
    std::size_t read = 0;
    for (auto change = changes_.entries().upper_bound(position);
         change != changes_.entries().end() && change->second.changed_at <= filter.changed_until;
         ++change) {
        if (read++ == filter.limit) {
            page.complete = false;
            return page;
        }
        page.position = change->first;
        const auto program = requests_.find(change->second.request);
        if (program == requests_.end() ||
            group_of_program(program->second, filter.group_count) != filter.group) {
            continue;
        }
        const request_summary held = summarize(change->second.request, program->second, filter.now);
        if (held.in_ledger || held.has_record) {
            page.changed.push_back(held);
        }
    }
    return page;
}

bool turn_table::lacks(const request_summary& other) const {
    const std::string* request = changes_.request_of(other.key);
    const auto program = request == nullptr ? requests_.end() : requests_.find(*request);
    if (program == requests_.end()) {
        return true;
    }
    const request_summary held = summarize(*request, program->second, instant::min());
    return (other.in_ledger && !held.in_ledger) || (other.settled && !held.settled) ||
           (other.has_record && !held.has_record);
}

record_page turn_table::records_of(const std::vector<request_key>& keys, std::size_t limit_bytes,
                                   instant now) const {
    record_page page;
    std::size_t bytes = 0;
    for (const request_key key : keys) {
        if (bytes >= limit_bytes) {
            return page;
        }
        ++page.covered;
        const std::string* request = changes_.request_of(key);
        const auto program = request == nullptr ? requests_.end() : requests_.find(*request);
        if (program != requests_.end()) {
            bytes += size_of_request(*request);
            append_changes_of(*request, program->second, now, page.changes);
        }
    }
    return page;
}

std::size_t turn_table::size_of_request(const std::string& request) const {
    const auto turn = turns_.find(request);
    return turn != turns_.end() ? size_of(turn->second.record) : turn_overhead_bytes;
}

void turn_table::append_changes_of(const std::string& request, const std::string& program,
                                   instant now, std::vector<turn_change>& changes) const {
    const auto turn = turns_.find(request);
    const auto entry = programs_.find(program);
    const bool in_ledger = entry != programs_.end() && entry->second.requests.contains(request);
    const ledger_entry cost = in_ledger ? entry->second.requests.at(request) : ledger_entry{};
    const std::uint32_t ledger_ms = in_ledger ? remaining_ms(entry->second.expires_at, now) : 0;
    const std::uint32_t record_ms =
        turn != turns_.end() ? remaining_ms(turn->second.expires_at, now) : 0;
    if (cost.settled) {
        turn_settlement settlement{
            program, request, cost.tokens, std::max(ledger_ms, record_ms), std::nullopt, {}};
        if (turn != turns_.end()) {
            settlement.record = turn->second.record;
        }
        changes.emplace_back(std::move(settlement));
        return;
    }
    if (in_ledger) {
        changes.emplace_back(turn_reservation{program, request, cost.tokens, ledger_ms});
    }
    // Another program may have adopted the turn: its cost is then unknown here, or its settlement
    // was missed.
    if (turn != turns_.end()) {
        changes.emplace_back(
            settlement_of_records(turn->second.program, record_ms, {turn->second.record}));
    }
}

std::set<std::string> turn_table::complete_requests() const {
    std::set<std::string> complete;
    for (const auto& [program, entry] : programs_) {
        for (const auto& [request, cost] : entry.requests) {
            if (cost.settled && turns_.contains(request)) {
                complete.insert(request);
            }
        }
    }
    return complete;
}

change_page turn_table::page_after(const std::string& after, const std::set<std::string>& held,
                                   std::size_t limit_bytes, instant now) const {
    // Copies only what goes into the page, since the table may be many times as large.
    change_page page;
    std::size_t bytes = 0;
    std::string last;
    for (auto entry = requests_.upper_bound(after); entry != requests_.end(); ++entry) {
        const auto& [request, program] = *entry;
        if (held.contains(request)) {
            continue;
        }
        if (bytes >= limit_bytes) {
            page.next = last;
            return page;
        }
        bytes += size_of_request(request);
        append_changes_of(request, program, now, page.changes);
        last = request;
    }
    return page;
}

void turn_table::rebuild_request_index() {
    requests_.clear();
    for (const auto& [request, entry] : turns_) {
        requests_[request] = entry.program;
    }
    for (const auto& [program, entry] : programs_) {
        for (const auto& [request, cost] : entry.requests) {
            requests_[request] = program;
        }
    }
}

}  // namespace tallyfold::turns
