#include "tallyfold/plane/turns/turn_table.hpp"

#include <algorithm>

namespace tallyfold::turns {

namespace {

/// Estimated size of one turn beside its texts: keys, and the overhead of strings and map nodes.
constexpr std::size_t turn_overhead_bytes = 256;

std::size_t size_of(const turn_record& record) {
    return record.input.size() + record.output.size() + turn_overhead_bytes;
}

std::uint32_t milliseconds_of(duration retention) {
    return static_cast<std::uint32_t>(to_milliseconds(retention));
}

}  // namespace

turn_table::program_entry& turn_table::renew_retention(const std::string& program,
                                                       std::uint32_t retention_ms, instant now) {
    program_entry& entry = programs_[program];
    entry.last_changed = now;
    entry.retention = std::max<duration>(entry.retention, std::chrono::milliseconds(retention_ms));
    return entry;
}

void turn_table::store_record(const turn_settlement& settlement, const turn_record& record,
                              instant now) {
    const auto [position, added] = turns_.try_emplace(record.request);
    if (!added) {
        return;
    }
    position->second = {record, settlement.program,
                        std::chrono::milliseconds(settlement.retention_ms), now};
    bytes_ += size_of(record);
}

void turn_table::reserve(const turn_reservation& reservation, instant now) {
    program_entry& entry = renew_retention(reservation.program, reservation.retention_ms, now);
    requests_[reservation.request] = reservation.program;
    merge(entry.requests, {{reservation.request, {reservation.max_tokens, false}}});
}

void turn_table::settle(const turn_settlement& settlement, instant now) {
    program_entry& entry = renew_retention(settlement.program, settlement.retention_ms, now);
    if (!holds_only_records(settlement)) {
        requests_[settlement.request] = settlement.program;
        merge(entry.requests, {{settlement.request, {settlement.tokens, true}}});
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

void turn_table::apply(const turn_change& change, instant now) {
    if (const auto* reservation = std::get_if<turn_reservation>(&change)) {
        reserve(*reservation, now);
    } else {
        settle(std::get<turn_settlement>(change), now);
    }
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

void turn_table::expire(instant now, duration margin) {
    std::set<std::string> retained;
    for (const auto& [request, entry] : turns_) {
        if (now - entry.stored_at <= entry.retention + margin) {
            std::string next = request;
            while (!next.empty() && retained.insert(next).second) {
                const auto found = turns_.find(next);
                next = found == turns_.end() ? std::string{} : found->second.record.previous;
            }
        }
    }
    std::erase_if(turns_, [&](const auto& entry) {
        const bool expired = !retained.contains(entry.first);
        bytes_ -= expired ? size_of(entry.second.record) : 0;
        return expired;
    });
    std::erase_if(programs_, [&](const auto& entry) {
        return now - entry.second.last_changed > entry.second.retention + margin;
    });
    rebuild_request_index();
}

void turn_table::append_changes_of(const std::string& request, const std::string& program,
                                   std::vector<turn_change>& changes) const {
    const auto turn = turns_.find(request);
    const auto entry = programs_.find(program);
    const bool in_ledger = entry != programs_.end() && entry->second.requests.contains(request);
    const ledger_entry cost = in_ledger ? entry->second.requests.at(request) : ledger_entry{};
    const std::uint32_t retention_ms = in_ledger ? milliseconds_of(entry->second.retention) : 0;
    if (cost.settled) {
        turn_settlement settlement{program, request, cost.tokens, retention_ms, std::nullopt, {}};
        if (turn != turns_.end()) {
            settlement.record = turn->second.record;
        }
        changes.emplace_back(std::move(settlement));
        return;
    }
    if (in_ledger) {
        changes.emplace_back(turn_reservation{program, request, cost.tokens, retention_ms});
    }
    // Another program may have adopted the turn: its cost is then unknown here, or its settlement
    // was missed.
    if (turn != turns_.end()) {
        changes.emplace_back(settlement_of_records(
            turn->second.program, milliseconds_of(turn->second.retention), {turn->second.record}));
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
                                   std::size_t limit_bytes) const {
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
        const auto turn = turns_.find(request);
        bytes += turn != turns_.end() ? size_of(turn->second.record) : turn_overhead_bytes;
        append_changes_of(request, program, page.changes);
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
