/// @file
/// Commands on programs: open, call, close. Each is checked against the owner's copy first, so
/// that a refusal is final and says that nothing ran.

#include <algorithm>

#include "tallyfold/program_api/journal/conversation_prefix.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::outcome;
using journal::ran_state;
using logging::event_id;

outcome refusal(answer_code code, std::string detail, std::uint32_t retry_after_ms = 0) {
    outcome result;
    result.code = code;
    result.ran = ran_state::no;
    result.detail = std::move(detail);
    result.retry_after_ms = retry_after_ms;
    return result;
}

outcome success(std::string answer) {
    outcome result;
    result.ran = ran_state::yes;
    result.answer = std::move(answer);
    return result;
}

bool is_same_request(const protocol::program_call& left, const protocol::program_call& right) {
    return left.sequence == right.sequence && left.request_identity == right.request_identity &&
           left.request_hash == right.request_hash;
}

constexpr std::uint32_t owner_retry_after_ms = 200;
constexpr std::uint32_t configuration_retry_after_ms = 1000;

}  // namespace

void scheduler_core::on_request(const node_name& from, const protocol::scheduler_request& request,
                                instant now) {
    const waiter asker{from, request.correlation};
    const program_id id = std::visit(
        [](const auto& body) {
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, protocol::open_call>) {
                return body.program.id;
            } else {
                return body.program;
            }
        },
        request.call);
    const shard_id number = shard_number(id);
    const auto found = shards_.find(number);
    const bool joins = call_of_program_.contains(id);
    const bool serves =
        found != shards_.end() && (found->second.phase == shard_phase::serving ||
                                   (found->second.phase != shard_phase::loading && joins));
    if (!serves) {
        reply(asker, refusal(answer_code::owner_changed,
                             "this scheduler does not own the program; ask its owner",
                             owner_retry_after_ms));
        return;
    }
    owned_shard& shard = found->second;
    if (const auto* inspect = std::get_if<protocol::inspect_call>(&request.call)) {
        on_inspect(asker, *inspect, shard, now);
        return;
    }
    const group_id group = journal::group_of_shard(number, settings_.journal_groups);
    const bool confirmed = session_.lease_valid(group, now);
    if (!confirmed && !repeats_active(request.call)) {
        // This copy of the shard may be old: it must not be the ground of a refusal.
        reply(asker, refusal(answer_code::owner_changed,
                             "this scheduler cannot confirm that it still owns the program",
                             owner_retry_after_ms));
        return;
    }
    touch(id, now);
    const bool is_call = std::holds_alternative<protocol::program_call>(request.call);
    if (!session_.configuration_fresh(now) && !is_call) {
        reply(asker, refusal(answer_code::configuration_stale,
                             "the scheduler cannot confirm that its configuration is current",
                             configuration_retry_after_ms));
        return;
    }
    if (const auto* open = std::get_if<protocol::open_call>(&request.call)) {
        on_open(asker, *open, shard, number, now);
    } else if (const auto* call = std::get_if<protocol::program_call>(&request.call)) {
        on_call(asker, *call, shard, number, now);
    } else if (const auto* close = std::get_if<protocol::close_call>(&request.call)) {
        on_close(asker, *close, shard, number, now);
    }
}

bool scheduler_core::repeats_active(const protocol::scheduler_call& call) {
    const auto* repeated = std::get_if<protocol::program_call>(&call);
    const active_call* active = repeated == nullptr ? nullptr : call_of(repeated->program);
    return active != nullptr && is_same_request(active->request, *repeated);
}

void scheduler_core::touch(const program_id& id, instant now) {
    // A request for a sub-agent shows that its whole tree is alive.
    for (const program_id& alive : {id, journal::root_of_identifier(id)}) {
        const auto runtime = programs_.find(alive);
        if (runtime != programs_.end()) {
            runtime->second.last_activity = now;
        }
    }
}

void scheduler_core::on_open(const waiter& asker, const protocol::open_call& call,
                             owned_shard& shard, shard_id number, instant now) {
    const journal::open_program& wanted = call.program;
    const configuration::class_settings* settings =
        configuration().program_class(wanted.program_class);
    if (configuration().tenant(wanted.tenant) == nullptr) {
        reply(asker, refusal(answer_code::unknown_tenant,
                             "no tenant is named '" + wanted.tenant + "'; ask an operator"));
        return;
    }
    if (settings == nullptr) {
        reply(asker, refusal(answer_code::unknown_class,
                             "no class is named '" + wanted.program_class + "'; ask an operator"));
        return;
    }
    const bool is_root = wanted.root == wanted.id;
    if (is_root && (wanted.budget == 0 || wanted.budget > settings->budget_limit)) {
        reply(asker, refusal(answer_code::over_budget, "the budget must lie between 1 and " +
                                                           std::to_string(settings->budget_limit) +
                                                           " tokens"));
        return;
    }
    if (const journal::program_record* existing = shard.state.find(wanted.id)) {
        const bool same = existing->request_identity == wanted.request_identity;
        reply(asker, same ? success(wanted.id)
                          : refusal(answer_code::identity_conflict,
                                    "the program's identifier is taken by another request"));
        return;
    }
    if (!is_root) {
        const journal::program_record* root = shard.state.find(wanted.root);
        if (root == nullptr || root->closed) {
            reply(asker, refusal(root == nullptr ? answer_code::program_not_found
                                                 : answer_code::program_closed,
                                 "the parent program is not open"));
            return;
        }
    }
    program_runtime& runtime = programs_[wanted.id];
    runtime.last_activity = now;
    if (runtime.first_heard == instant{}) {
        runtime.first_heard = now;
    }
    runtime.open_waiters.push_back(asker);
    if (runtime.open_waiters.size() > 1) {
        return;
    }
    journal_.append({number, shard.epoch, wanted.root},
                    journal::journal_command(journal::owner_command{
                        number, shard.epoch, journal::program_change(wanted)}),
                    now);
}

void scheduler_core::on_call(const waiter& asker, const protocol::program_call& call,
                             owned_shard& shard, shard_id number, instant now) {
    const journal::program_record* program = shard.state.find(call.program);
    if (program == nullptr) {
        reply(asker, refusal(answer_code::program_not_found, "no such program; open one first"));
        return;
    }
    if (join_active(asker, call) || answer_from_record(asker, call, *program) ||
        repeat_refusal(asker, call)) {
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
        remember_refusal(call, *refused);
        reply(asker, *refused);
        return;
    }
    admit(asker, call, *program, number, now);
}

void scheduler_core::remember_refusal(const protocol::program_call& call, const outcome& result) {
    if (result.ran == ran_state::no) {
        programs_[call.program].refused = {call.sequence, call.submission, result};
    }
}

bool scheduler_core::repeat_refusal(const waiter& asker, const protocol::program_call& call) {
    // A submission that was overtaken by a later one, of which the caller was told that it did
    // not run, must not run behind the caller's back.
    const refusal_record& last = programs_[call.program].refused;
    if (last.sequence != call.sequence || call.submission > last.submission) {
        return false;
    }
    reply(asker, last.result);
    return true;
}

bool scheduler_core::join_active(const waiter& asker, const protocol::program_call& call) {
    active_call* active = call_of(call.program);
    if (active == nullptr) {
        return false;
    }
    if (!is_same_request(active->request, call)) {
        const bool same_sequence = active->request.sequence == call.sequence;
        reply(asker,
              refusal(same_sequence ? answer_code::identity_conflict
                                    : answer_code::sequence_out_of_order,
                      same_sequence
                          ? "another request with this sequence number is under way"
                          : "an earlier call of the program is under way; wait for its answer"));
        return true;
    }
    // A repeat of the request waits for the same answer.
    active->request.submission = std::max(active->request.submission, call.submission);
    active->waiters.push_back(asker);
    if (!active->pieces.empty()) {
        output_.messages.push_back(
            {asker.gateway, protocol::answer_pieces{asker.correlation, 0, active->pieces}});
    }
    return true;
}

bool scheduler_core::answer_from_record(const waiter& asker, const protocol::program_call& call,
                                        const journal::program_record& program) {
    const auto found = program.calls.find(call.sequence);
    if (found == program.calls.end()) {
        if (call.sequence == 0 || call.sequence > program.last_sequence) {
            return false;
        }
        outcome expired = refusal(answer_code::answer_expired,
                                  "the call ended long ago and its answer is no longer kept");
        expired.ran = ran_state::yes;
        reply(asker, std::move(expired));
        return true;
    }
    const journal::call_record& record = found->second;
    const bool same = record.request_identity == call.request_identity &&
                      record.request_hash == call.request_hash;
    if (!same) {
        reply(asker, refusal(answer_code::identity_conflict,
                             "the sequence number belongs to another request; use the next one"));
        return true;
    }
    if (record.phase != journal::call_phase::ended) {
        return false;
    }
    reply(asker, record.result);
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
        return refusal(answer_code::configuration_stale,
                       "the scheduler cannot confirm that its configuration is current",
                       configuration_retry_after_ms);
    }
    const configuration::class_settings* settings =
        configuration().program_class(program.program_class);
    const configuration::tenant_settings* tenant = configuration().tenant(program.tenant);
    if (settings == nullptr || tenant == nullptr) {
        return refusal(answer_code::unknown_class,
                       "the program's tenant or class has been removed");
    }
    if (repeats) {
        // It was admitted before; its earlier attempt may have run, so it is not turned away.
        return std::nullopt;
    }
    if (call.sequence > settings->turn_limit) {
        return refusal(answer_code::too_many_turns, "the class allows " +
                                                        std::to_string(settings->turn_limit) +
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
    if (of_tenant >= tenant->queue_limit || of_class >= settings->queue_limit) {
        return refusal(answer_code::overloaded, "too many calls are waiting", retry_after());
    }
    return std::nullopt;
}

void scheduler_core::admit(const waiter& asker, const protocol::program_call& call,
                           const journal::program_record& program, shard_id number, instant now) {
    active_call& active = calls_[next_ticket_];
    active.id = next_ticket_++;
    active.shard = number;
    active.epoch = shards_.at(number).epoch;
    active.root = program.root;
    active.request = call;
    active.waiters.push_back(asker);
    active.pieces = call.delivered;
    active.arrived = now;
    active.last_progress = now;
    call_of_program_[call.program] = active.id;
    ++counters_.calls_accepted;
    const auto record = program.calls.find(call.sequence);
    if (record != program.calls.end()) {
        active.attempt = record->second.attempt;
        active.maybe_ran =
            record->second.maybe_ran || record->second.phase == journal::call_phase::begun;
        active.target = record->second.target;
    } else {
        program_runtime& runtime = programs_[program.id];
        if (runtime.last_end != instant{}) {
            runtime.pause_total += now - runtime.last_end;
            ++runtime.pauses;
        }
    }
    if (call.kind == journal::call_kind::model) {
        auto prompt = std::make_shared<std::vector<journal::message>>(program.history);
        prompt->insert(prompt->end(), call.messages.begin(), call.messages.end());
        active.points = program_points(program);
        for (const journal::message& message : call.messages) {
            const scheduling::prefix_point before =
                active.points.empty() ? scheduling::prefix_point{} : active.points.back();
            active.points.push_back(journal::extend_prefix(before, message));
        }
        active.prompt_tokens = active.points.empty() ? 0 : active.points.back().tokens;
        active.prompt = std::move(prompt);
    }
    const bool open =
        record != program.calls.end() && record->second.phase == journal::call_phase::begun;
    if (open) {
        note(call.program, call.sequence, "asking " + active.target + " whether it ran", now);
        take_over(active, now);
        return;
    }
    enqueue(active);
}

const std::vector<scheduling::prefix_point>& scheduler_core::program_points(
    const journal::program_record& program) {
    program_runtime& runtime = programs_[program.id];
    while (runtime.points_messages < program.history.size()) {
        const scheduling::prefix_point before =
            runtime.points.empty() ? scheduling::prefix_point{} : runtime.points.back();
        runtime.points.push_back(
            journal::extend_prefix(before, program.history[runtime.points_messages]));
        ++runtime.points_messages;
    }
    return runtime.points;
}

void scheduler_core::on_close(const waiter& asker, const protocol::close_call& call,
                              owned_shard& shard, shard_id number, instant now) {
    const journal::program_record* program = shard.state.find(call.program);
    if (program == nullptr) {
        reply(asker, refusal(answer_code::program_not_found, "no such program"));
        return;
    }
    if (program->closed) {
        reply(asker, success(program->close_reason));
        return;
    }
    program_runtime& runtime = programs_[call.program];
    runtime.close_waiters.push_back(asker);
    if (runtime.close_waiters.size() == 1) {
        close_program(call.program, number, "closed by the caller", now);
    }
}

void scheduler_core::close_program(const program_id& id, shard_id number, const std::string& reason,
                                   instant now) {
    const auto shard = shards_.find(number);
    if (shard == shards_.end()) {
        return;
    }
    const lease_epoch epoch = shard->second.epoch;
    journal_.append(
        {number, epoch, journal::root_of_identifier(id)},
        journal::journal_command(journal::owner_command{
            number, epoch, journal::program_change(journal::close_program{id, reason})}),
        now);
}

void scheduler_core::on_program_closed(const journal::close_program& change, shard_id number,
                                       instant now) {
    ++counters_.programs_closed;
    std::vector<program_id> closed{change.program};
    const std::string prefix = change.program + ".";
    const auto& all = shards_.at(number).state.programs();
    for (auto child = all.lower_bound(prefix);
         child != all.end() && child->first.starts_with(prefix); ++child) {
        closed.push_back(child->first);
    }
    for (const program_id& id : closed) {
        if (active_call* call = call_of(id)) {
            outcome result = refusal(answer_code::cancelled, "the program was closed");
            const bool untouched = call->state == call_state::queued && !call->maybe_ran;
            result.ran = untouched ? ran_state::no : ran_state::unknown;
            reply_all(*call, result);
            if (call->state == call_state::running &&
                call->request.kind == journal::call_kind::model) {
                order(cancel_stream{call->target, key_of(*call)});
            }
            drop_call(call->id);
        }
        queue_cache_release(id, now);
        const auto runtime = programs_.find(id);
        if (runtime == programs_.end()) {
            continue;
        }
        for (const waiter& asker : runtime->second.close_waiters) {
            reply(asker, success(change.reason));
        }
        // The journey stays readable for a while; the rest is not needed any more.
        runtime->second.close_waiters.clear();
        runtime->second.points.clear();
        runtime->second.points.shrink_to_fit();
    }
}

}  // namespace tallyfold::scheduler
