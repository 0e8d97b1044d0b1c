/// @file
/// Progress of attempts: journal results, stream pieces, responses and the end of calls. Failures
/// are handled in attempt_failure.cpp.

#include <algorithm>

#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::call_kind;
using journal::journal_error;
using journal::outcome;
using journal::ran_state;

std::string concatenate(const std::vector<std::string>& pieces) {
    std::string whole;
    for (const std::string& piece : pieces) {
        whole += piece;
    }
    return whole;
}

}  // namespace

void scheduler_core::on_append_finished(const finished_append& finished, instant now) {
    const auto shard = shards_.find(finished.key.shard);
    if (shard == shards_.end() || shard->second.epoch != finished.key.epoch) {
        return;
    }
    if (finished.result == journal_error::stale_epoch) {
        lose_shard(finished.key.shard);
        return;
    }
    const auto* command = std::get_if<journal::owner_command>(&finished.command);
    if (command == nullptr) {
        // The command was release_shard.
        lose_shard(finished.key.shard);
        shards_to_hand_over_.erase(finished.key.shard);
        return;
    }
    if (finished.result == journal_error::none) {
        (void)shard->second.state.apply(command->change);
    }
    on_change_journalled(finished, command->change, now);
}

void scheduler_core::on_change_journalled(const finished_append& finished,
                                          const journal::program_change& change, instant now) {
    const bool applied = finished.result == journal_error::none;
    if (const auto* opened = std::get_if<journal::open_program>(&change)) {
        on_program_opened(*opened, finished.result);
    } else if (const auto* begun = std::get_if<journal::begin_attempt>(&change)) {
        on_attempt_begun(finished, *begun, now);
    } else if (const auto* failed = std::get_if<journal::fail_attempt>(&change)) {
        on_attempt_failed_journalled(*failed, now);
    } else if (const auto* ended = std::get_if<journal::end_call>(&change); ended && applied) {
        on_call_ended(*ended, now);
    } else if (const auto* closed = std::get_if<journal::close_program>(&change);
               closed && applied) {
        on_program_closed(*closed, finished.key.shard, now);
    }
}

void scheduler_core::on_program_opened(const journal::open_program& opened, journal_error refused) {
    outcome result;
    if (refused == journal_error::none) {
        ++counters_.programs_opened;
        result.ran = ran_state::yes;
        result.answer = opened.id;
    } else {
        result.code = refused == journal_error::program_exists ? answer_code::identity_conflict
                                                               : answer_code::program_closed;
        result.detail = "the program could not be opened";
    }
    program_runtime& runtime = programs_[opened.id];
    for (const waiter& requester : runtime.open_waiters) {
        reply(requester, result);
    }
    runtime.open_waiters.clear();
}

void scheduler_core::on_attempt_begun(const finished_append& finished,
                                      const journal::begin_attempt& change, instant now) {
    active_call* call = find_call({change.program, change.sequence, change.attempt});
    if (call == nullptr || call->state != call_state::beginning) {
        return;
    }
    if (finished.result == journal_error::none) {
        dispatch(*call, now);
        return;
    }
    release_slot(*call);
    outcome result;
    result.code = finished.result == journal_error::over_budget ? answer_code::over_budget
                  : finished.result == journal_error::program_closed
                      ? answer_code::program_closed
                      : answer_code::sequence_out_of_order;
    // The journal's refusal is final, but an earlier attempt may have run.
    result.ran = call->maybe_ran ? ran_state::unknown : ran_state::no;
    result.detail = "the journal refused the call: " + std::string(to_string(finished.result));
    reply_all(*call, result);
    drop_call(call->id);
}

void scheduler_core::on_pieces(const stream_pieces& pieces, instant now) {
    active_call* call = find_call(pieces.key);
    if (call == nullptr || call->state != call_state::running) {
        return;
    }
    if (pieces.offset > call->pieces.size()) {
        // Pieces are missing: the stream is resumed from the last piece received.
        on_attempt_failed({pieces.key, failure_kind::broken}, now);
        return;
    }
    const std::uint64_t known = call->pieces.size() - pieces.offset;
    if (known >= pieces.pieces.size()) {
        return;
    }
    call->last_progress = now;
    call->start_confirmed = true;
    if (call->prefill_pending) {
        call->prefill_pending = false;
        pool(engine_kind).prefilled(call->target, call->prefill_tokens);
    }
    protocol::answer_pieces forwarded;
    forwarded.offset = call->pieces.size();
    forwarded.pieces.assign(pieces.pieces.begin() + static_cast<std::ptrdiff_t>(known),
                            pieces.pieces.end());
    call->pieces.insert(call->pieces.end(), forwarded.pieces.begin(), forwarded.pieces.end());
    for (const waiter& requester : call->waiters) {
        forwarded.correlation = requester.correlation;
        output_.messages.push_back({requester.gateway, forwarded});
    }
}

void scheduler_core::on_stream_finished(const stream_finished& finished, instant now) {
    active_call* call = find_call(finished.key);
    if (call == nullptr || call->state != call_state::running) {
        return;
    }
    if (finished.completion_tokens != call->pieces.size()) {
        // Pieces were lost in transit; the stream can be resumed.
        on_attempt_failed({finished.key, failure_kind::broken}, now);
        return;
    }
    pool(engine_kind).succeeded(call->target);
    release_slot(*call);
    outcome result;
    result.ran = ran_state::yes;
    result.answer = concatenate(call->pieces);
    result.prompt_tokens = finished.prompt_tokens;
    result.completion_tokens = finished.completion_tokens;
    result.cached_tokens = finished.cached_tokens;
    std::vector<journal::message> appended = call->request.messages;
    appended.push_back({"assistant", result.answer, finished.completion_tokens});
    const token_count charged = finished.prompt_tokens + finished.completion_tokens;
    finish_call(*call, std::move(result), std::move(appended), charged, now);
}

void scheduler_core::on_request_answered(const request_answered& answered, instant now) {
    active_call* call = find_call(answered.key);
    if (call == nullptr ||
        (call->state != call_state::running && call->state != call_state::resolving)) {
        return;
    }
    pool_for(call->request.kind).succeeded(call->target);
    release_slot(*call);
    outcome result;
    result.ran = ran_state::yes;
    result.answer = answered.answer;
    finish_call(*call, std::move(result), {}, 0, now);
}

void scheduler_core::finish_call(active_call& call, outcome result,
                                 std::vector<journal::message> appended, token_count charged,
                                 instant now) {
    call.state = call_state::ending;
    journal::end_call change;
    change.program = call.request.program;
    change.sequence = call.request.sequence;
    change.attempt = call.attempt;
    change.charged = charged;
    change.result = std::move(result);
    change.appended_history = std::move(appended);
    journal_.append(append_key_of(call),
                    journal::journal_command(journal::owner_command{
                        call.shard, call.epoch, journal::program_change(std::move(change))}),
                    now);
}

void scheduler_core::on_call_ended(const journal::end_call& change, instant now) {
    active_call* call = find_call({change.program, change.sequence, change.attempt});
    if (call == nullptr) {
        return;
    }
    ++counters_.calls_ended;
    program_runtime& runtime = programs_[change.program];
    runtime.last_activity = now;
    runtime.last_end = now;
    const journal::program_record* program = record_of(change.program);
    if (program != nullptr && call->request.kind == call_kind::model &&
        change.result.code == answer_code::ok) {
        for (const scheduling::prefix_point& point : program_points(*program)) {
            if (point.tokens > call->cached_tokens) {
                cache_.stored(call->target, point);
            }
        }
        update_retention(*call, *program);
    }
    record_decision(change.program, change.sequence,
                    "ended: " + std::string(to_string(change.result.code)), now);
    reply_all(*call, change.result);
    drop_call(call->id);
}

void scheduler_core::update_retention(const active_call& call,
                                      const journal::program_record& program) {
    const configuration::class_settings* settings =
        configuration().program_class(program.program_class);
    if (settings == nullptr || settings_.placement != scheduling::strategy::policy) {
        return;
    }
    scheduling::policy* ranking = policy_for(*settings);
    if (ranking == nullptr) {
        return;
    }
    const program_runtime& runtime = programs_[program.id];
    scheduling::program_features features;
    features.program_class = program.program_class;
    features.priority = settings->priority;
    features.history_tokens =
        runtime.points.empty() ? 0.0 : static_cast<double>(runtime.points.back().tokens);
    features.turns = program.last_sequence;
    features.started_ms =
        static_cast<double>(to_milliseconds(runtime.first_seen.time_since_epoch()));
    features.attained_tokens = static_cast<double>(attained(program));
    features.mean_pause_ms =
        runtime.pauses == 0
            ? 0.0
            : static_cast<double>(to_milliseconds(runtime.pause_total)) / runtime.pauses;
    features.is_sub_agent = program.root != program.id;
    const auto value = ranking->retain(features);
    if (!value) {
        ++counters_.policy_failures;
        return;
    }
    order(retain_cache{call.target, program.id, *value,
                       std::chrono::milliseconds(settings->idle_timeout_ms)});
}

void scheduler_core::release_slot(active_call& call) {
    if (!call.slot_held) {
        return;
    }
    call.slot_held = false;
    scheduling::backend_pool& backends = pool_for(call.request.kind);
    if (call.prefill_pending) {
        call.prefill_pending = false;
        backends.prefilled(call.target, call.prefill_tokens);
    }
    backends.finished(call.target);
    if (const journal::program_record* program = record_of(call.request.program)) {
        std::size_t& running = running_of_tenant_[program->tenant];
        running -= running > 0 ? 1 : 0;
    }
}

void scheduler_core::drop_call(scheduling::ticket id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    active_call& call = found->second;
    release_slot(call);
    const journal::program_record* program = record_of(call.request.program);
    if (call.state == call_state::queued) {
        queue_for(call.request.kind).remove(id);
        if (program != nullptr) {
            --waiting_of_class_[program->program_class];
        }
    }
    call_of_program_.erase(call.request.program);
    calls_.erase(found);
}

}  // namespace tallyfold::scheduler
