/// @file
/// Handling of failed attempts: resuming the stream, retrying the call, resolving an unknown
/// outcome at the back end, or ending the call with an error.

#include <algorithm>

#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::call_kind;
using journal::outcome;
using journal::ran_state;
using logging::event_id;

/// Delay before a broken stream is resumed, so that the connection can recover.
constexpr duration resume_delay = std::chrono::milliseconds(100);
/// Maximum number of resumes of one attempt; after that the attempt counts as failed.
constexpr std::uint32_t max_resumes = 2;
/// Initial delay between seal requests for one attempt; doubled each time, up to the limit.
constexpr duration initial_seal_retry_delay = std::chrono::milliseconds(300);
constexpr duration max_seal_retry_delay = std::chrono::seconds(3);
/// Time after which callers of a request with an unknown outcome get outcome_unknown. Must stay
/// below the callers' inactivity timeout of 8 s. Seal requests continue after that.
constexpr duration unknown_outcome_delay = std::chrono::seconds(4);
/// Retry delay suggested to these callers.
constexpr std::uint32_t unknown_retry_after_ms = 1000;

std::string describe(const attempt_key& key) {
    return "program=" + key.program + " sequence=" + std::to_string(key.sequence) +
           " attempt=" + std::to_string(key.attempt);
}

}  // namespace

void scheduler_core::on_attempt_failed(const attempt_failed& failed, instant now) {
    active_call* call = find_call(failed.key);
    if (call == nullptr || call->state != call_state::running) {
        return;
    }
    const bool refused_by_backend =
        failed.kind == failure_kind::refused || failed.kind == failure_kind::leaving;
    if (!refused_by_backend) {
        count_backend_failure(*call, now);
    }
    call->skip_retry_budget = failed.kind == failure_kind::leaving;
    if (refused_by_backend || failed.kind == failure_kind::unreachable) {
        // The back end refused the attempt or never received it, so it has not run.
        release_slot(*call);
        journal_failure(*call, ran_state::no, now);
        return;
    }
    if (may_resume(*call, failed.kind)) {
        ++call->resumes;
        ++counters_.resumes;
        event(event_id::call_resumed,
              describe(failed.key) + " offset=" + std::to_string(call->pieces.size()));
        call->state = call_state::resuming;
        call->next_try = now + resume_delay;
        return;
    }
    release_slot(*call);
    if (failed.kind != failure_kind::failed) {
        ++call->lost_runs;
    }
    if (call->request.kind != call_kind::model) {
        event(event_id::outcome_open, describe(failed.key) + " backend=" + call->target);
        start_resolving(*call, now);
        return;
    }
    // The engine may still be generating; cancel to free its capacity.
    order(cancel_stream{call->target, failed.key});
    const bool start_known = call->start_confirmed || failed.kind != failure_kind::broken;
    if (!start_known && now < call->start_deadline) {
        call->state = call_state::awaiting_start_deadline;
        return;
    }
    journal_failure(*call, ran_state::unknown, now);
}

void scheduler_core::count_backend_failure(const active_call& call, instant now) {
    scheduling::backend_pool& backends = pool_for(call.request.kind);
    const scheduling::backend_state* before = backends.find(call.target);
    const bool was_available = before != nullptr && backends.available(*before, now);
    backends.failed(call.target, now);
    const scheduling::backend_state* after = backends.find(call.target);
    if (was_available && after != nullptr && !backends.available(*after, now)) {
        event(event_id::backend_ejected, "backend=" + call.target);
    }
}

bool scheduler_core::may_resume(const active_call& call, failure_kind kind) {
    return call.request.kind == call_kind::model && kind == failure_kind::broken &&
           call.resumes < max_resumes && pool_for(call.request.kind).find(call.target) != nullptr;
}

void scheduler_core::start_resolving(active_call& call, instant now) {
    call.state = call_state::resolving;
    call.resolving_since = now;
    call.seal_tries = 0;
    resolve(call, now);
}

void scheduler_core::resume_inherited_attempt(active_call& call, instant now) {
    // A previous owner began the attempt, and it may be running or start late. No further attempt
    // begins until this is known.
    set_start_deadline(call, now);
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
    retry_or_fail(*call, now);
}

void scheduler_core::retry_or_fail(active_call& call, instant now) {
    const journal::program_record* program = record_of(call.request.program);
    const configuration::class_settings* settings =
        program == nullptr ? nullptr : configuration().program_class(program->program_class);
    const std::string class_name = program == nullptr ? std::string{} : program->program_class;
    const bool attempts_left =
        call.attempt < settings_.attempt_limit && call.lost_runs < settings_.lost_run_limit;
    const bool allowed = settings != nullptr && attempts_left &&
                         (call.skip_retry_budget || retry_budgets_[class_name].try_spend());
    if (allowed) {
        ++counters_.retries;
        event(event_id::call_retried, describe(key_of(call)) + " backend=" + call.target);
        record_decision(call.request.program, call.request.sequence, "retry after " + call.target,
                        now);
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
        // The journal records the attempt as released, so the same request may begin again.
        reply_all(call, result);
        drop_call(call.id);
        return;
    }
    // The failure becomes the final outcome of the call, so that the program can continue.
    result.retry_after_ms = 0;
    finish_call(call, std::move(result), {}, 0, now);
}

void scheduler_core::resolve(active_call& call, instant now) {
    if (call.request.repeatable && now >= call.start_deadline && call.seal_tries > 0) {
        // The attempt can no longer start, and a repeatable request does not need to know if it
        // ran.
        journal_failure(call, ran_state::unknown, now);
        return;
    }
    const std::uint32_t doublings = std::min(call.seal_tries, 4U);
    call.next_try =
        now + std::min(initial_seal_retry_delay * (1 << doublings), max_seal_retry_delay);
    ++call.seal_tries;
    if (now - call.resolving_since > unknown_outcome_delay && !call.waiters.empty()) {
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
    call->skip_retry_budget = true;
    journal_failure(*call, ran_state::no, now);
}

}  // namespace tallyfold::scheduler
