/// @file
/// Calls of a program. A repeated call joins the active one or gets the stored outcome; a new call
/// is validated and queued.

#include <algorithm>

#include "tallyfold/program_api/journal/conversation_prefix.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tallyfold/program_api/scheduler/commands/refusal.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::outcome;
using journal::ran_state;
using logging::event_id;

bool is_same_request(const protocol::program_call& left, const protocol::program_call& right) {
    return left.sequence == right.sequence && left.request_identity == right.request_identity &&
           left.request_hash == right.request_hash;
}

}  // namespace

bool scheduler_core::repeats_active(const protocol::scheduler_call& call) {
    const auto* repeated = std::get_if<protocol::program_call>(&call);
    const active_call* active = repeated == nullptr ? nullptr : call_of(repeated->program);
    return active != nullptr && is_same_request(active->request, *repeated);
}

void scheduler_core::on_call(const waiter& requester, const protocol::program_call& call,
                             owned_shard& shard, shard_id number, instant now) {
    const journal::program_record* program = shard.state.find(call.program);
    if (program == nullptr) {
        reply(requester,
              refusal(answer_code::program_not_found, "no such program; open one first"));
        return;
    }
    if (join_active(requester, call) || answer_from_record(requester, call, *program) ||
        resend_refusal(requester, call)) {
        return;
    }
    if (std::optional<outcome> refused = refuse_call(call, *program, now)) {
        event(event_id::call_refused, "program=" + call.program +
                                          " sequence=" + std::to_string(call.sequence) +
                                          " code=" + std::string(to_string(refused->code)));
        const auto record = program->calls.find(call.sequence);
        const bool maybe_ran =
            record != program->calls.end() &&
            (record->second.maybe_ran || record->second.phase == journal::call_phase::begun);
        if (maybe_ran) {
            refused->ran = ran_state::unknown;
        }
        store_refusal(call, *refused);
        reply(requester, *refused);
        return;
    }
    admit(requester, call, *program, number, now);
}

void scheduler_core::store_refusal(const protocol::program_call& call, const outcome& result) {
    if (result.ran == ran_state::no) {
        programs_[call.program].refused = {call.sequence, call.submission, result};
    }
}

bool scheduler_core::resend_refusal(const waiter& requester, const protocol::program_call& call) {
    // The caller was told that a submission did not run. An older submission that arrives after
    // it must not run either.
    const refusal_record& last = programs_[call.program].refused;
    if (last.sequence != call.sequence || call.submission > last.submission) {
        return false;
    }
    reply(requester, last.result);
    return true;
}

bool scheduler_core::join_active(const waiter& requester, const protocol::program_call& call) {
    active_call* active = call_of(call.program);
    if (active == nullptr) {
        return false;
    }
    if (!is_same_request(active->request, call)) {
        const bool same_sequence = active->request.sequence == call.sequence;
        reply(requester,
              refusal(same_sequence ? answer_code::identity_conflict
                                    : answer_code::sequence_out_of_order,
                      same_sequence
                          ? "another request with this sequence number is under way"
                          : "an earlier call of the program is under way; wait for its answer"));
        return true;
    }
    // A repeated request waits for the outcome of the active call.
    active->request.submission = std::max(active->request.submission, call.submission);
    active->waiters.push_back(requester);
    if (!active->pieces.empty()) {
        output_.messages.push_back(
            {requester.gateway, protocol::answer_pieces{requester.correlation, 0, active->pieces}});
    }
    return true;
}

bool scheduler_core::answer_from_record(const waiter& requester, const protocol::program_call& call,
                                        const journal::program_record& program) {
    const auto found = program.calls.find(call.sequence);
    if (found == program.calls.end()) {
        if (call.sequence == 0 || call.sequence > program.last_sequence) {
            return false;
        }
        outcome expired = refusal(answer_code::answer_expired,
                                  "the call ended long ago and its answer is no longer kept");
        expired.ran = ran_state::yes;
        reply(requester, std::move(expired));
        return true;
    }
    const journal::call_record& record = found->second;
    const bool same = record.request_identity == call.request_identity &&
                      record.request_hash == call.request_hash;
    if (!same) {
        reply(requester,
              refusal(answer_code::identity_conflict,
                      "the sequence number belongs to another request; use the next one"));
        return true;
    }
    if (record.phase != journal::call_phase::ended) {
        return false;
    }
    reply(requester, record.result);
    return true;
}

std::optional<outcome> scheduler_core::refuse_call(const protocol::program_call& call,
                                                   const journal::program_record& program,
                                                   instant now) {
    if (program.closed) {
        return refusal(answer_code::program_closed, "the program is closed; open another");
    }
    const bool repeats = program.calls.contains(call.sequence);
    const bool previous_open =
        program.last_sequence > 0 && program.calls.contains(program.last_sequence) &&
        program.calls.at(program.last_sequence).phase != journal::call_phase::ended;
    if (!repeats && (call.sequence != program.last_sequence + 1 || previous_open)) {
        return refusal(answer_code::sequence_out_of_order,
                       "the next call of the program has sequence number " +
                           std::to_string(program.last_sequence + (previous_open ? 0 : 1)));
    }
    if (!session_.configuration_fresh(now)) {
        return stale_configuration();
    }
    const configuration::class_settings* settings =
        configuration().program_class(program.program_class);
    const configuration::tenant_settings* tenant = configuration().tenant(program.tenant);
    if (settings == nullptr || tenant == nullptr) {
        return refusal(answer_code::unknown_class,
                       "the program's tenant or class has been removed");
    }
    if (repeats) {
        // The call was admitted before and may have run, so the limits do not apply again.
        return std::nullopt;
    }
    return refuse_over_limit(call, program, *settings, *tenant);
}

std::optional<outcome> scheduler_core::refuse_over_limit(
    const protocol::program_call& call, const journal::program_record& program,
    const configuration::class_settings& settings, const configuration::tenant_settings& tenant) {
    if (call.sequence > settings.turn_limit) {
        return refusal(answer_code::too_many_turns, "the class allows " +
                                                        std::to_string(settings.turn_limit) +
                                                        " calls per program; close the program");
    }
    token_count needed = call.max_tokens;
    for (const journal::message& message : call.messages) {
        needed += message.tokens;
    }
    if (needed > budget_left(program)) {
        return refusal(answer_code::over_budget, "the program has " +
                                                     std::to_string(budget_left(program)) +
                                                     " tokens left; ask for fewer");
    }
    const std::size_t of_tenant = queue_for(call.kind).waiting_of(program.tenant);
    const std::size_t of_class = waiting_of_class_[program.program_class];
    if (of_tenant >= tenant.queue_limit || of_class >= settings.queue_limit) {
        return refusal(answer_code::overloaded, "too many calls are waiting", retry_after());
    }
    return std::nullopt;
}

void scheduler_core::admit(const waiter& requester, const protocol::program_call& call,
                           const journal::program_record& program, shard_id number, instant now) {
    active_call& active = calls_[next_ticket_];
    active.id = next_ticket_++;
    active.shard = number;
    active.epoch = shards_.at(number).epoch;
    active.root = program.root;
    active.request = call;
    active.waiters.push_back(requester);
    active.pieces = call.delivered;
    active.arrived = now;
    active.last_progress = now;
    call_of_program_[call.program] = active.id;
    ++counters_.calls_accepted;
    const auto record = program.calls.find(call.sequence);
    const bool open =
        record != program.calls.end() && record->second.phase == journal::call_phase::begun;
    if (record != program.calls.end()) {
        active.attempt = record->second.attempt;
        active.maybe_ran = record->second.maybe_ran || open;
        active.target = record->second.target;
        // The journal doesn't tell which of the attempts were lost, so all of them count.
        const std::uint32_t ended_attempts = active.attempt - (open ? 1 : 0);
        active.lost_runs = record->second.maybe_ran ? ended_attempts : 0;
    } else {
        add_pause(program.id, now);
    }
    if (call.kind == journal::call_kind::model) {
        set_prompt(active, program);
    }
    if (open) {
        record_decision(call.program, call.sequence, "asking " + active.target + " whether it ran",
                        now);
        resume_inherited_attempt(active, now);
        return;
    }
    enqueue(active);
}

void scheduler_core::add_pause(const program_id& id, instant now) {
    program_runtime& runtime = programs_[id];
    if (runtime.last_end != instant{}) {
        runtime.pause_total += now - runtime.last_end;
        ++runtime.pauses;
    }
}

void scheduler_core::set_prompt(active_call& active, const journal::program_record& program) {
    const std::vector<journal::message>& messages = active.request.messages;
    auto prompt = std::make_shared<std::vector<journal::message>>(program.history);
    prompt->insert(prompt->end(), messages.begin(), messages.end());
    active.points = program_points(program);
    for (const journal::message& message : messages) {
        const scheduling::prefix_point before =
            active.points.empty() ? scheduling::prefix_point{} : active.points.back();
        active.points.push_back(journal::extend_prefix(before, message));
    }
    active.prompt_tokens = active.points.empty() ? 0 : active.points.back().tokens;
    active.prompt = std::move(prompt);
}

const std::vector<scheduling::prefix_point>& scheduler_core::program_points(
    const journal::program_record& program) {
    program_runtime& runtime = programs_[program.id];
    while (runtime.hashed_messages < program.history.size()) {
        const scheduling::prefix_point before =
            runtime.points.empty() ? scheduling::prefix_point{} : runtime.points.back();
        runtime.points.push_back(
            journal::extend_prefix(before, program.history[runtime.hashed_messages]));
        ++runtime.hashed_messages;
    }
    return runtime.points;
}

}  // namespace tallyfold::scheduler
