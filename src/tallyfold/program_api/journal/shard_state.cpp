#include "tallyfold/program_api/journal/shard_state.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::journal {

program_id root_program_id(const program_id& id) {
    return id.substr(0, id.find('.'));
}

shard_id shard_of(const program_id& id, std::uint32_t shard_count) {
    return static_cast<shard_id>(stable_hash(root_program_id(id)) % shard_count);
}

group_id group_of_shard(shard_id shard, std::uint32_t journal_groups) {
    return configuration_group + 1 + shard % journal_groups;
}

journal_error shard_state::apply(const program_change& change) {
    return std::visit([this](const auto& body) { return apply_change(body); }, change);
}

const program_record* shard_state::find(const program_id& id) const {
    const auto found = programs_.find(id);
    return found == programs_.end() ? nullptr : &found->second;
}

program_record* shard_state::find_mutable(const program_id& id) {
    const auto found = programs_.find(id);
    return found == programs_.end() ? nullptr : &found->second;
}

program_record& shard_state::root_of(program_record& program) {
    program_record* root = find_mutable(program.root);
    return root == nullptr ? program : *root;
}

journal_error shard_state::apply_change(const open_program& change) {
    if (const program_record* existing = find(change.id)) {
        const bool same = existing->request_identity == change.request_identity &&
                          existing->tenant == change.tenant &&
                          existing->program_class == change.program_class &&
                          existing->budget == change.budget;
        return same ? journal_error::none : journal_error::program_exists;
    }
    if (change.root != change.id) {
        const program_record* root = find(change.root);
        if (root == nullptr) {
            return journal_error::program_not_found;
        }
        if (root->closed) {
            return journal_error::program_closed;
        }
    }
    program_record record;
    record.id = change.id;
    record.root = change.root;
    record.tenant = change.tenant;
    record.program_class = change.program_class;
    record.request_identity = change.request_identity;
    record.budget = change.budget;
    programs_.emplace(change.id, std::move(record));
    return journal_error::none;
}

journal_error shard_state::check_new_attempt(const program_record& program,
                                             const begin_attempt& change) const {
    if (program.closed) {
        return journal_error::program_closed;
    }
    const auto found = program.calls.find(change.sequence);
    if (found == program.calls.end()) {
        const bool next = change.sequence == program.last_sequence + 1 && change.attempt == 1;
        const bool previous_open =
            program.last_sequence > 0 && program.calls.contains(program.last_sequence) &&
            program.calls.at(program.last_sequence).phase != call_phase::ended;
        return next && !previous_open ? journal_error::none : journal_error::sequence_out_of_order;
    }
    const call_record& call = found->second;
    if (call.request_identity != change.request_identity ||
        call.request_hash != change.request_hash) {
        return journal_error::identity_conflict;
    }
    if (call.phase == call_phase::ended) {
        return journal_error::already_ended;
    }
    if (change.attempt != call.attempt + 1) {
        return journal_error::attempt_out_of_order;
    }
    // After an attempt with an unknown outcome, only a repeatable request may begin another.
    if (call.phase == call_phase::begun && !call.repeatable) {
        return journal_error::not_repeatable;
    }
    return journal_error::none;
}

journal_error shard_state::apply_change(const begin_attempt& change) {
    program_record* program = find_mutable(change.program);
    if (program == nullptr) {
        return journal_error::program_not_found;
    }
    const auto existing = program->calls.find(change.sequence);
    if (existing != program->calls.end() && existing->second.attempt == change.attempt &&
        existing->second.phase == call_phase::begun &&
        existing->second.request_identity == change.request_identity &&
        existing->second.target == change.target) {
        return journal_error::none;
    }
    if (const journal_error refused = check_new_attempt(*program, change);
        refused != journal_error::none) {
        return refused;
    }
    program_record& root = root_of(*program);
    call_record& call = program->calls[change.sequence];
    // An earlier attempt that may still be running is charged its whole reservation.
    const bool has_unresolved_attempt = call.attempt > 0 && call.phase == call_phase::begun;
    const token_count unresolved_reservation = has_unresolved_attempt ? call.reserved : 0;
    if (root.charged + root.reserved + change.reservation > root.budget) {
        if (call.attempt == 0) {
            program->calls.erase(change.sequence);
        }
        return journal_error::over_budget;
    }
    root.reserved = root.reserved - unresolved_reservation + change.reservation;
    root.charged += unresolved_reservation;
    call.maybe_ran = call.maybe_ran || has_unresolved_attempt;
    call.sequence = change.sequence;
    call.request_identity = change.request_identity;
    call.request_hash = change.request_hash;
    call.kind = change.kind;
    call.repeatable = change.repeatable;
    call.phase = call_phase::begun;
    call.attempt = change.attempt;
    call.target = change.target;
    call.reserved = change.reservation;
    program->last_sequence = change.sequence;
    if (change.kind == call_kind::model) {
        program->engines.insert(change.target);
    }
    while (program->calls.size() > kept_calls_per_program) {
        program->calls.erase(program->calls.begin());
    }
    return journal_error::none;
}

void shard_state::settle_reservation(program_record& program, call_record& call,
                                     token_count charged) {
    program_record& root = root_of(program);
    // The charge is capped at the reservation: the operator bears any excess usage.
    root.charged += std::min(charged, call.reserved);
    root.reserved -= call.reserved;
    call.reserved = 0;
}

journal_error shard_state::apply_change(const fail_attempt& change) {
    program_record* program = find_mutable(change.program);
    if (program == nullptr) {
        return journal_error::program_not_found;
    }
    const auto found = program->calls.find(change.sequence);
    if (found == program->calls.end() || found->second.attempt != change.attempt) {
        return journal_error::attempt_out_of_order;
    }
    call_record& call = found->second;
    if (call.phase == call_phase::ended) {
        return journal_error::already_ended;
    }
    if (call.phase == call_phase::released) {
        return journal_error::none;
    }
    if (change.ran == ran_state::no) {
        settle_reservation(*program, call, 0);
        call.phase = call_phase::released;
        return journal_error::none;
    }
    call.maybe_ran = true;
    // The outcome is unknown: only a repeatable request can begin again.
    settle_reservation(*program, call, call.reserved);
    return journal_error::none;
}

journal_error shard_state::apply_change(const end_call& change) {
    program_record* program = find_mutable(change.program);
    if (program == nullptr) {
        return journal_error::program_not_found;
    }
    const auto found = program->calls.find(change.sequence);
    if (found == program->calls.end() || found->second.attempt != change.attempt) {
        return journal_error::attempt_out_of_order;
    }
    call_record& call = found->second;
    if (call.phase == call_phase::ended) {
        return call.result == change.result ? journal_error::none : journal_error::already_ended;
    }
    if (program->closed) {
        return journal_error::program_closed;
    }
    settle_reservation(*program, call, change.charged);
    call.phase = call_phase::ended;
    call.result = change.result;
    for (const message& added : change.appended_history) {
        program->history.push_back(added);
    }
    return journal_error::none;
}

void shard_state::mark_closed(program_record& program, const std::string& reason) {
    for (auto& [sequence, call] : program.calls) {
        if (call.phase == call_phase::begun) {
            settle_reservation(program, call, call.reserved);
        }
    }
    program.closed = true;
    program.close_reason = reason;
    closed_order_.push_back(program.id);
}

journal_error shard_state::apply_change(const close_program& change) {
    program_record* program = find_mutable(change.program);
    if (program == nullptr) {
        return journal_error::program_not_found;
    }
    if (program->closed) {
        return journal_error::none;
    }
    const std::string prefix = program->id + ".";
    for (auto child = programs_.lower_bound(prefix);
         child != programs_.end() && child->first.starts_with(prefix); ++child) {
        if (!child->second.closed) {
            mark_closed(child->second, "parent closed");
        }
    }
    mark_closed(*program, change.reason);
    evict_oldest_closed();
    return journal_error::none;
}

void shard_state::evict_oldest_closed() {
    while (closed_order_.size() > kept_closed_programs_per_shard) {
        const program_id oldest = closed_order_.front();
        closed_order_.pop_front();
        programs_.erase(oldest);
    }
}

}  // namespace tallyfold::journal
