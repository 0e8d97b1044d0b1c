#include "tallyfold/plane/turns/turn_table.hpp"

#include <algorithm>

namespace tallyfold::turns {

namespace {

/// Bytes that one turn takes beside its texts, about.
constexpr std::size_t turn_overhead = 256;

std::size_t size_of(const turn_record& record) {
    return record.input.size() + record.output.size() + turn_overhead;
}

}  // namespace

turn_table::program_entry& turn_table::touch(const std::string& program, std::uint32_t retention_ms,
                                             instant now) {
    program_entry& entry = programs_[program];
    entry.touched = now;
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

void turn_table::apply(const turn_change& change, instant now) {
    if (const auto* reservation = std::get_if<turn_reservation>(&change)) {
        program_entry& entry = touch(reservation->program, reservation->retention_ms, now);
        requests_[reservation->request] = reservation->program;
        const ledger_entry reserved{reservation->max_tokens, false};
        const auto [position, added] = entry.requests.try_emplace(reservation->request, reserved);
        if (!added) {
            merge(position->second, reserved);
        }
        return;
    }
    const auto& settlement = std::get<turn_settlement>(change);
    program_entry& entry = touch(settlement.program, settlement.retention_ms, now);
    requests_[settlement.request] = settlement.program;
    const ledger_entry settled{settlement.tokens, true};
    const auto [position, added] = entry.requests.try_emplace(settlement.request, settled);
    if (!added) {
        merge(position->second, settled);
    }
    if (settlement.record.has_value()) {
        store_record(settlement, *settlement.record, now);
    }
    for (const turn_record& record : settlement.adopted) {
        store_record(settlement, record, now);
        // Unless it is known already, with its own program and what it cost there.
        requests_.try_emplace(record.request, settlement.program);
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
    // A turn keeps the whole line behind it: what a living turn continues from stays too.
    std::set<std::string> kept;
    for (const auto& [request, entry] : turns_) {
        if (now - entry.stored <= entry.retention + margin) {
            std::string next = request;
            while (!next.empty() && kept.insert(next).second) {
                const auto found = turns_.find(next);
                next = found == turns_.end() ? std::string{} : found->second.record.previous;
            }
        }
    }
    std::erase_if(turns_, [&](const auto& entry) {
        const bool gone = !kept.contains(entry.first);
        bytes_ -= gone ? size_of(entry.second.record) : 0;
        return gone;
    });
    std::erase_if(programs_, [&](const auto& entry) {
        return now - entry.second.touched > entry.second.retention + margin;
    });
    index_requests();
}

turn_change turn_table::change_of(const std::string& request, const std::string& program) const {
    const auto turn = turns_.find(request);
    const auto entry = programs_.find(program);
    const bool in_ledger = entry != programs_.end() && entry->second.requests.contains(request);
    // A turn may outlive its program's ledger when another program continues from it.
    const ledger_entry cost =
        in_ledger ? entry->second.requests.at(request) : ledger_entry{0, true};
    const duration retention = in_ledger ? entry->second.retention : turn->second.retention;
    const auto retention_ms = static_cast<std::uint32_t>(to_milliseconds(retention));
    if (!cost.settled) {
        return turn_reservation{program, request, cost.tokens, retention_ms};
    }
    turn_settlement settlement{program, request, cost.tokens, retention_ms, std::nullopt, {}};
    if (turn != turns_.end()) {
        settlement.record = turn->second.record;
    }
    return settlement;
}

std::set<std::string> turn_table::settled_requests() const {
    std::set<std::string> settled;
    for (const auto& [program, entry] : programs_) {
        for (const auto& [request, cost] : entry.requests) {
            if (cost.settled) {
                settled.insert(request);
            }
        }
    }
    for (const auto& [request, entry] : turns_) {
        settled.insert(request);
    }
    return settled;
}

std::vector<turn_change> turn_table::missing_from(const std::set<std::string>& known,
                                                  const std::string& from, std::size_t limit_bytes,
                                                  std::string& next) const {
    // Only what goes into the page is copied: a table holds many times as much.
    std::vector<turn_change> page;
    std::size_t bytes = 0;
    next.clear();
    std::string last;
    for (auto entry = requests_.upper_bound(from); entry != requests_.end(); ++entry) {
        const auto& [request, program] = *entry;
        if (known.contains(request)) {
            continue;
        }
        if (bytes >= limit_bytes) {
            next = last;
            return page;
        }
        const auto turn = turns_.find(request);
        bytes += turn != turns_.end() ? size_of(turn->second.record) : turn_overhead;
        page.push_back(change_of(request, program));
        last = request;
    }
    return page;
}

void turn_table::index_requests() {
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
