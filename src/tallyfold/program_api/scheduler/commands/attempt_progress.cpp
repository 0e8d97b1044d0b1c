/// @file
/// What follows a begin: pieces, answers, failures, retries, open outcomes, and the end.

#include <algorithm>

#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::call_kind;
using journal::journal_error;
using journal::outcome;
using journal::ran_state;
using logging::event_id;

constexpr duration resume_pause = std::chrono::milliseconds(100);
constexpr std::uint32_t resume_limit = 2;
constexpr duration seal_patience = std::chrono::milliseconds(300);
constexpr duration seal_patience_limit = std::chrono::seconds(3);
/// Callers of a request with an open outcome are told so after this long; asking goes on.
constexpr duration resolving_patience = std::chrono::seconds(4);
constexpr std::uint32_t unknown_retry_after_ms = 1000;

std::string join(const std::vector<std::string>& pieces) {
    std::string whole;
    for (const std::string& piece : pieces) {
        whole += piece;
    }
    return whole;
}

std::string describe(const attempt_key& key) {
    return "program=" + key.program + " sequence=" + std::to_string(key.sequence) +
           " attempt=" + std::to_string(key.attempt);
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
        // The lease is given up.
        lose_shard(finished.key.shard);
        hand_over_.erase(finished.key.shard);
        return;
    }
    if (finished.result == journal_error::none) {
        (void)shard->second.state.apply(command->change);
    }
    if (const auto* opened = std::get_if<journal::open_program>(&command->change)) {
        program_runtime& runtime = programs_[opened->id];
        outcome result;
        if (finished.result == journal_error::none) {
            ++counters_.programs_opened;
            result.ran = ran_state::yes;
            result.answer = opened->id;
        } else {
            result.code = finished.result == journal_error::program_exists
                              ? answer_code::identity_conflict
                              : answer_code::program_closed;
            result.detail = "the program could not be opened";
        }
        for (const waiter& asker : runtime.open_waiters) {
            reply(asker, result);
        }
        runtime.open_waiters.clear();
    } else if (const auto* begun = std::get_if<journal::begin_attempt>(&command->change)) {
        on_attempt_begun(finished, *begun, now);
    } else if (const auto* failed = std::get_if<journal::fail_attempt>(&command->change)) {
        on_attempt_failed_journalled(*failed, now);
    } else if (const auto* ended = std::get_if<journal::end_call>(&command->change)) {
        if (finished.result == journal_error::none) {
            on_call_ended(*ended, now);
        }
    } else if (const auto* closed = std::get_if<journal::close_program>(&command->change)) {
        if (finished.result == journal_error::none) {
            on_program_closed(*closed, finished.key.shard, now);
        }
    }
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
    // The journal refused this begin for good; an earlier attempt may still have run.
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
        // A gap: ask again from where this side stands.
        on_attempt_failed({pieces.key, failure_kind::broken}, now);
        return;
    }
    const std::uint64_t known = call->pieces.size() - pieces.offset;
    if (known >= pieces.pieces.size()) {
        return;
    }
    call->last_progress = now;
    call->start_settled = true;
    if (call->prefill_pending) {
        call->prefill_pending = false;
        pool(engine_kind).prefilled(call->target, call->prefill_tokens);
    }
    protocol::answer_pieces forwarded;
    forwarded.offset = call->pieces.size();
    forwarded.pieces.assign(pieces.pieces.begin() + static_cast<std::ptrdiff_t>(known),
                            pieces.pieces.end());
    call->pieces.insert(call->pieces.end(), forwarded.pieces.begin(), forwarded.pieces.end());
    for (const waiter& asker : call->waiters) {
        forwarded.correlation = asker.correlation;
        output_.messages.push_back({asker.gateway, forwarded});
    }
}

void scheduler_core::on_stream_finished(const stream_finished& finished, instant now) {
    active_call* call = find_call(finished.key);
    if (call == nullptr || call->state != call_state::running) {
        return;
    }
    if (finished.completion_tokens != call->pieces.size()) {
        // Some pieces were lost on the way; the stream can be read again.
        on_attempt_failed({finished.key, failure_kind::broken}, now);
        return;
    }
    pool(engine_kind).succeeded(call->target);
    release_slot(*call);
    outcome result;
    result.ran = ran_state::yes;
    result.answer = join(call->pieces);
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
    note(change.program, change.sequence, "ended: " + std::string(to_string(change.result.code)),
         now);
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
        static_cast<double>(to_milliseconds(runtime.first_heard.time_since_epoch()));
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

void scheduler_core::on_attempt_failed(const attempt_failed& failed, instant now) {
    active_call* call = find_call(failed.key);
    if (call == nullptr || call->state != call_state::running) {
        return;
    }
    scheduling::backend_pool& backends = pool_for(call->request.kind);
    if (failed.kind != failure_kind::refused && failed.kind != failure_kind::leaving) {
        const scheduling::backend_state* before = backends.find(call->target);
        const bool was_available = before != nullptr && backends.available(*before, now);
        backends.failed(call->target, now);
        const scheduling::backend_state* after = backends.find(call->target);
        if (was_available && after != nullptr && !backends.available(*after, now)) {
            event(event_id::backend_ejected, "backend=" + call->target);
        }
    }
    const bool proved_idle = failed.kind == failure_kind::refused ||
                             failed.kind == failure_kind::leaving ||
                             failed.kind == failure_kind::unreachable;
    call->free_retry = failed.kind == failure_kind::leaving;
    if (proved_idle) {
        release_slot(*call);
        journal_failure(*call, ran_state::no, now);
        return;
    }
    const bool model = call->request.kind == call_kind::model;
    if (model && failed.kind == failure_kind::broken && call->resumes < resume_limit &&
        backends.find(call->target) != nullptr) {
        ++call->resumes;
        ++counters_.resumes;
        event(event_id::call_resumed,
              describe(failed.key) + " offset=" + std::to_string(call->pieces.size()));
        call->state = call_state::resuming;
        call->next_try = now + resume_pause;
        return;
    }
    release_slot(*call);
    if (!model) {
        event(event_id::outcome_open, describe(failed.key) + " backend=" + call->target);
        start_resolving(*call, now);
        return;
    }
    // The attempt may still be generating there for nobody.
    order(cancel_stream{call->target, failed.key});
    const bool settled = call->start_settled || failed.kind != failure_kind::broken;
    if (!settled && now < call->start_limit) {
        call->state = call_state::fencing;
        return;
    }
    journal_failure(*call, ran_state::unknown, now);
}

void scheduler_core::start_resolving(active_call& call, instant now) {
    call.state = call_state::resolving;
    call.resolving_since = now;
    call.seal_tries = 0;
    resolve(call, now);
}

void scheduler_core::take_over(active_call& call, instant now) {
    // An earlier owner began the attempt. It may run, or start late: until that is settled no
    // further attempt begins.
    set_start_limit(call, now);
    if (call.request.kind != call_kind::model) {
        start_resolving(call, now);
        return;
    }
    call.state = call_state::resuming;
    call.next_try = now;
}

void scheduler_core::journal_failure(active_call& call, ran_state ran, instant now) {
    call.state = call_state::failing;
    const journal::fail_attempt change{call.request.program, call.request.sequence, call.attempt,
                                       ran};
    journal_.append(append_key_of(call),
                    journal::journal_command(journal::owner_command{
                        call.shard, call.epoch, journal::program_change(change)}),
                    now);
}

void scheduler_core::on_attempt_failed_journalled(const journal::fail_attempt& change,
                                                  instant now) {
    active_call* call = find_call({change.program, change.sequence, change.attempt});
    if (call == nullptr || call->state != call_state::failing) {
        return;
    }
    const journal::program_record* program = record_of(change.program);
    const auto record = program == nullptr ? nullptr : &program->calls;
    if (record != nullptr && record->contains(change.sequence)) {
        call->maybe_ran = record->at(change.sequence).maybe_ran;
    }
    retry_or_give_up(*call, now);
}

void scheduler_core::retry_or_give_up(active_call& call, instant now) {
    const journal::program_record* program = record_of(call.request.program);
    const configuration::class_settings* settings =
        program == nullptr ? nullptr : configuration().program_class(program->program_class);
    const std::string class_name = program == nullptr ? std::string{} : program->program_class;
    const bool attempts_left = call.attempt < settings_.attempt_limit;
    const bool allowed = settings != nullptr && attempts_left &&
                         (call.free_retry || retry_budgets_[class_name].spend());
    if (allowed) {
        ++counters_.retries;
        event(event_id::call_retried, describe(key_of(call)) + " backend=" + call.target);
        note(call.request.program, call.request.sequence, "retry after " + call.target, now);
        call.resumes = 0;
        enqueue(call);
        return;
    }
    outcome result;
    result.code = answer_code::backend_failed;
    result.ran = call.maybe_ran ? ran_state::unknown : ran_state::no;
    result.detail = "the back end failed and the retries are used up";
    result.retry_after_ms = retry_after();
    if (result.ran == ran_state::no) {
        // The journal shows it released: the same request may begin again.
        reply_all(call, result);
        drop_call(call.id);
        return;
    }
    // The program must be able to go on: the failure is the call's outcome, for good.
    result.retry_after_ms = 0;
    finish_call(call, std::move(result), {}, 0, now);
}

void scheduler_core::resolve(active_call& call, instant now) {
    if (call.request.repeatable && now >= call.start_limit && call.seal_tries > 0) {
        // It cannot start any more; whether it ran matters little for a request that may repeat.
        journal_failure(call, ran_state::unknown, now);
        return;
    }
    const std::uint32_t doublings = std::min(call.seal_tries, 4U);
    call.next_try = now + std::min(seal_patience * (1 << doublings), seal_patience_limit);
    ++call.seal_tries;
    if (now - call.resolving_since > resolving_patience && !call.waiters.empty()) {
        outcome result;
        result.code = answer_code::outcome_unknown;
        result.ran = ran_state::unknown;
        result.detail =
            "the back end cannot be asked whether the request ran; repeat it later "
            "with the same identity";
        result.retry_after_ms = unknown_retry_after_ms;
        reply_all(call, result);
    }
    order(seal_request{call.target, key_of(call)});
}

void scheduler_core::on_seal_answered(const seal_answered& answered, instant now) {
    active_call* call = find_call(answered.key);
    if (call == nullptr || call->state != call_state::resolving) {
        return;
    }
    event(event_id::outcome_resolved,
          describe(answered.key) + " ran=" + (answered.ran ? "yes" : "no"));
    if (answered.ran) {
        on_request_answered({answered.key, answered.answer}, now);
        return;
    }
    call->free_retry = true;
    journal_failure(*call, ran_state::no, now);
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
