/// @file
/// Dispatch of queued calls: ranking, placement, journalling of the attempt, order to a back end.

#include <algorithm>

#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::call_kind;
using journal::outcome;
using journal::ran_state;

/// Number of queued calls considered for placement, so that one call does not block the rest.
constexpr std::size_t lookahead = 16;
constexpr std::array all_kinds{call_kind::model, call_kind::app, call_kind::tool};
constexpr duration app_timeout = std::chrono::seconds(10);

}  // namespace

scheduling::call_features scheduler_core::features_of(
    const active_call& call, const journal::program_record& program,
    const configuration::class_settings& settings) const {
    scheduling::call_features features;
    features.program_class = program.program_class;
    features.priority = settings.priority;
    features.attained_tokens = static_cast<double>(attained(program));
    features.turns = program.last_sequence;
    const auto runtime = programs_.find(program.root);
    if (runtime != programs_.end()) {
        features.started_ms =
            static_cast<double>(to_milliseconds(runtime->second.first_seen.time_since_epoch()));
    }
    features.prompt_tokens = static_cast<double>(call.prompt_tokens);
    features.max_tokens = static_cast<double>(call.request.max_tokens);
    features.budget_left = static_cast<double>(budget_left(program));
    const auto running = running_of_tenant_.find(program.tenant);
    features.tenant_running =
        running == running_of_tenant_.end() ? 0.0 : static_cast<double>(running->second);
    features.is_sub_agent = program.root != program.id;
    return features;
}

void scheduler_core::enqueue(active_call& call) {
    const journal::program_record* program = record_of(call.request.program);
    if (program == nullptr) {
        drop_call(call.id);
        return;
    }
    const configuration::class_settings* settings =
        configuration().program_class(program->program_class);
    const configuration::tenant_settings* tenant = configuration().tenant(program->tenant);
    call.state = call_state::queued;
    scheduling::queued_call queued;
    queued.id = call.id;
    queued.tenant = program->tenant;
    queued.tenant_weight = tenant == nullptr ? 1.0 : tenant->weight;
    queued.arrived = call.arrived;
    queued.cost = static_cast<double>(1 + call.request.max_tokens + call.prompt_tokens);
    // Baseline strategies and classes without a policy rank calls by arrival time.
    queued.rank = static_cast<double>(call.arrived.time_since_epoch().count());
    const bool by_policy = settings_.placement == scheduling::strategy::policy;
    if (by_policy && settings != nullptr) {
        queued.priority = settings->priority;
        if (scheduling::policy* ranking = policy_for(*settings)) {
            if (const auto rank = ranking->order(features_of(call, *program, *settings))) {
                queued.rank = *rank;
            } else {
                ++counters_.policy_failures;
            }
        }
    }
    if (!by_policy) {
        // Baseline strategies are first come, first served across all tenants.
        queued.tenant.clear();
    }
    queue_for(call.request.kind).push(queued);
    ++waiting_of_class_[program->program_class];
}

void scheduler_core::dispatch_queued(instant now) {
    for (const call_kind kind : all_kinds) {
        while (dispatch_next(kind, now)) {
        }
    }
}

bool scheduler_core::dispatch_next(call_kind kind, instant now) {
    for (const scheduling::ticket id : queue_for(kind).next(lookahead)) {
        if (try_begin(calls_.at(id), now)) {
            return true;
        }
    }
    return false;
}

bool scheduler_core::try_begin(active_call& call, instant now) {
    const std::optional<backend_name> target = choose_backend(call, now);
    if (!target.has_value()) {
        return false;
    }
    queue_for(call.request.kind).take(call.id);
    if (const journal::program_record* program = record_of(call.request.program)) {
        --waiting_of_class_[program->program_class];
    }
    begin(call, *target, now);
    return true;
}

std::optional<backend_name> scheduler_core::choose_backend(active_call& call, instant now) {
    if (call.request.kind != call_kind::model) {
        const auto options = pool_for(call.request.kind).least_loaded(1, {}, false, now);
        if (options.empty()) {
            return std::nullopt;
        }
        return options.front()->member.name;
    }
    const journal::program_record* program = record_of(call.request.program);
    const configuration::class_settings* settings =
        program == nullptr ? nullptr : configuration().program_class(program->program_class);
    if (settings == nullptr) {
        return std::nullopt;
    }
    scheduling::placement_request request;
    request.call = features_of(call, *program, *settings);
    request.model = settings->model;
    request.zone = settings_.zone;
    request.prompt = &call.points;
    request.prompt_tokens = call.prompt_tokens;
    const auto choice =
        placement_.choose(request, pool(engine_kind), cache_, policy_for(*settings), now);
    if (!choice) {
        return std::nullopt;
    }
    call.cached_tokens = choice->cached_tokens;
    call.prefill_tokens = call.prompt_tokens - choice->cached_tokens;
    record_decision(
        call.request.program, call.request.sequence,
        "placed on " + choice->engine + ": cached " + std::to_string(choice->cached_tokens) +
            " of " + std::to_string(call.prompt_tokens) + " tokens, cost " +
            std::to_string(choice->cost) + ", best of " + std::to_string(choice->candidates) +
            ", waited " + std::to_string(to_milliseconds(now - call.arrived)) + " ms",
        now);
    return choice->engine;
}

void scheduler_core::begin(active_call& call, const backend_name& target, instant now) {
    call.state = call_state::beginning;
    call.target = target;
    ++call.attempt;
    call.slot_held = true;
    call.prefill_pending = call.request.kind == call_kind::model;
    pool_for(call.request.kind).started(target, call.prefill_pending ? call.prefill_tokens : 0);
    if (const journal::program_record* program = record_of(call.request.program)) {
        ++running_of_tenant_[program->tenant];
    }
    journal::begin_attempt change;
    change.program = call.request.program;
    change.sequence = call.request.sequence;
    change.attempt = call.attempt;
    change.request_identity = call.request.request_identity;
    change.request_hash = call.request.request_hash;
    change.kind = call.request.kind;
    change.repeatable = call.request.repeatable;
    change.target = target;
    // Upper bound of the usage: the whole prompt and the whole answer, including delivered pieces.
    change.reservation = call.prompt_tokens + call.request.max_tokens;
    ++counters_.attempts_begun;
    if (call.attempt == 1) {
        credit_retry_budget(call);
    }
    journal_.append(append_key_of(call),
                    journal::journal_command(journal::owner_command{
                        call.shard, call.epoch, journal::program_change(std::move(change))}),
                    now);
}

void scheduler_core::credit_retry_budget(const active_call& call) {
    const journal::program_record* program = record_of(call.request.program);
    const configuration::class_settings* settings =
        program == nullptr ? nullptr : configuration().program_class(program->program_class);
    if (settings != nullptr) {
        retry_budgets_[program->program_class].credit(settings->retry_ratio);
    }
}

void scheduler_core::set_start_deadline(active_call& call, instant now) {
    const bool model = call.request.kind == call_kind::model;
    call.start_deadline = now + (model ? settings_.stream_stall : settings_.request_start_window);
    call.start_confirmed = false;
}

backend_clock scheduler_core::backend_start_deadline(const active_call& call) {
    const scheduling::backend_state* target = pool_for(call.request.kind).find(call.target);
    const auto ahead = target == nullptr ? std::nullopt : target->clock_ahead();
    if (!ahead) {
        // The back end is no longer listed. A deadline of 1 has passed on any clock, so the
        // attempt never starts.
        return 1;
    }
    return (call.start_deadline.time_since_epoch() + *ahead).count();
}

void scheduler_core::dispatch(active_call& call, instant now) {
    call.state = call_state::running;
    call.last_progress = now;
    set_start_deadline(call, now);
    const group_id group = journal::group_of_shard(call.shard, settings_.journal_groups);
    if (!session_.lease_valid(group, now)) {
        // The shard may have another owner. Nothing was sent, so this attempt has not run.
        release_slot(call);
        call.skip_retry_budget = true;
        journal_failure(call, ran_state::no, now);
        return;
    }
    const journal::program_record* program = record_of(call.request.program);
    const configuration::class_settings* settings =
        program == nullptr ? nullptr : configuration().program_class(program->program_class);
    const ownership_fence fence{call.shard, call.epoch};
    if (call.request.kind == call_kind::model) {
        const bool by_policy = settings_.placement == scheduling::strategy::policy;
        start_stream start;
        start.backend = call.target;
        start.key = key_of(call);
        start.fence = fence;
        start.model = settings == nullptr ? std::string{} : settings->model;
        start.prompt = call.prompt;
        start.prefix = call.pieces;
        start.max_tokens = call.request.max_tokens;
        start.priority = by_policy && settings != nullptr ? settings->priority : 0;
        start.not_after = backend_start_deadline(call);
        order(std::move(start));
        return;
    }
    duration timeout = app_timeout;
    if (call.request.kind == call_kind::tool && settings != nullptr) {
        timeout = std::chrono::milliseconds(settings->tool_timeout_ms);
    }
    order(run_request{call.target, key_of(call), fence, call.request.kind, call.request.operation,
                      call.request.argument, call.request.repeatable, timeout,
                      backend_start_deadline(call)});
}

void scheduler_core::expire_queued(instant now) {
    for (const call_kind kind : all_kinds) {
        while (const scheduling::queued_call* oldest = queue_for(kind).oldest()) {
            active_call& call = calls_.at(oldest->id);
            const journal::program_record* program = record_of(call.request.program);
            const configuration::class_settings* settings =
                program == nullptr ? nullptr
                                   : configuration().program_class(program->program_class);
            const duration limit =
                std::chrono::milliseconds(settings == nullptr ? 0 : settings->queue_timeout_ms);
            if (now - call.arrived < limit) {
                break;
            }
            outcome result;
            const bool no_backend = pool_for(kind).all().empty();
            result.code = no_backend ? answer_code::no_backend : answer_code::deadline_exceeded;
            result.ran = call.maybe_ran ? ran_state::unknown : ran_state::no;
            result.detail = "the call waited too long for a back end";
            result.retry_after_ms = retry_after();
            reply_all(call, result);
            drop_call(call.id);
        }
    }
}

}  // namespace tallyfold::scheduler
