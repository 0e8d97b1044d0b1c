#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::scheduler {

namespace {

using logging::event_id;

constexpr duration housekeeping_interval = std::chrono::seconds(1);
constexpr duration max_tick_gap = std::chrono::milliseconds(500);
constexpr std::size_t max_decisions = 64;
constexpr std::uint32_t min_retry_after_ms = 100;
constexpr std::uint32_t max_retry_after_ms = 10'000;
/// Estimated time per queued call, for the suggested retry delay.
constexpr std::uint32_t milliseconds_per_waiting_call = 20;

}  // namespace

scheduler_core::scheduler_core(scheduler_settings settings, instant now)
    : settings_(std::move(settings)),
      random_(settings_.seed),
      journal_(settings_.control_nodes, settings_.journal_groups, settings_.seed),
      session_({settings_.node, protocol::node_role::scheduler, settings_.address, settings_.zone,
                settings_.control_nodes, settings_.heartbeat_interval,
                settings_.configuration_lease}),
      placement_(settings_.placement),
      next_status_poll_(now),
      next_members_poll_(now),
      next_housekeeping_(now) {}

// --- small helpers -------------------------------------------------------------------------

shard_id scheduler_core::shard_number(const program_id& id) const {
    return journal::shard_of(id, settings_.shard_count);
}

scheduler_core::active_call* scheduler_core::call_of(const program_id& id) {
    const auto found = call_of_program_.find(id);
    return found == call_of_program_.end() ? nullptr : &calls_.at(found->second);
}

scheduler_core::active_call* scheduler_core::find_call(const attempt_key& key) {
    active_call* call = call_of(key.program);
    const bool current =
        call != nullptr && call->request.sequence == key.sequence && call->attempt == key.attempt;
    return current ? call : nullptr;
}

const journal::program_record* scheduler_core::record_of(const program_id& id) const {
    const auto found = shards_.find(shard_number(id));
    return found == shards_.end() ? nullptr : found->second.state.find(id);
}

token_count scheduler_core::attained(const journal::program_record& program) const {
    const journal::program_record* root = record_of(program.root);
    return root == nullptr ? program.charged : root->charged;
}

token_count scheduler_core::budget_left(const journal::program_record& program) const {
    const journal::program_record* root = record_of(program.root);
    const journal::program_record& budget_owner = root == nullptr ? program : *root;
    const token_count used = budget_owner.charged + budget_owner.reserved;
    return budget_owner.budget > used ? budget_owner.budget - used : 0;
}

attempt_key scheduler_core::key_of(const active_call& call) const {
    return {call.request.program, call.request.sequence, call.attempt};
}

append_key scheduler_core::append_key_of(const active_call& call) const {
    return {call.shard, call.epoch, call.root};
}

void scheduler_core::reply(const waiter& requester, journal::outcome result) {
    if (result.code != journal::answer_code::ok && result.ran == journal::ran_state::no) {
        ++counters_.calls_refused;
    }
    output_.messages.push_back(
        {requester.gateway, protocol::scheduler_reply{requester.correlation, std::move(result)}});
}

void scheduler_core::reply_all(active_call& call, const journal::outcome& result) {
    if (result.code != journal::answer_code::ok) {
        store_refusal(call.request, result);
    }
    for (const waiter& requester : call.waiters) {
        reply(requester, result);
    }
    call.waiters.clear();
}

void scheduler_core::record_decision(const program_id& id, sequence_number sequence,
                                     std::string text, instant now) {
    auto& decisions = programs_[id].decisions;
    decisions.push_back({now, sequence, std::move(text)});
    if (decisions.size() > max_decisions) {
        decisions.pop_front();
    }
}

void scheduler_core::event(event_id id, std::string fields) {
    output_.events.push_back({id, std::move(fields)});
}

std::uint32_t scheduler_core::retry_after() {
    std::size_t waiting = 0;
    for (const scheduling::call_queue& queue : queues_) {
        waiting += queue.size();
    }
    const auto base = static_cast<std::uint32_t>(waiting) * milliseconds_per_waiting_call;
    const std::uint32_t bounded = std::clamp(base, min_retry_after_ms, max_retry_after_ms);
    // Jitter prevents refused callers from retrying at the same time.
    return bounded + static_cast<std::uint32_t>(random_.below(bounded / 2 + 1));
}

scheduling::backend_pool& scheduler_core::pool(scheduling::backend_kind kind) {
    return pools_[static_cast<std::size_t>(kind)];
}

scheduling::backend_pool& scheduler_core::pool_for(journal::call_kind kind) {
    return pools_[static_cast<std::size_t>(kind)];
}

scheduling::call_queue& scheduler_core::queue_for(journal::call_kind kind) {
    return queues_[static_cast<std::size_t>(kind)];
}

scheduler_output scheduler_core::take_output() {
    scheduler_output taken;
    std::swap(taken, output_);
    for (protocol::outbound_message& message : journal_.take_messages()) {
        taken.messages.push_back(std::move(message));
    }
    return taken;
}

scheduler_gauges scheduler_core::gauges(instant now) const {
    scheduler_gauges result;
    for (const auto& [number, shard] : shards_) {
        result.shards_serving += shard.phase == shard_phase::serving ? 1 : 0;
    }
    result.calls_active = calls_.size();
    for (const scheduling::call_queue& queue : queues_) {
        result.calls_waiting += queue.size();
    }
    result.appends_pending = journal_.pending();
    result.configuration = configuration().version();
    result.configuration_fresh = session_.configuration_fresh(now);
    return result;
}

// --- inputs --------------------------------------------------------------------------------

void scheduler_core::receive(const node_name& from, const protocol::internal_message& message,
                             instant now) {
    if (const auto* request = std::get_if<protocol::scheduler_request>(&message)) {
        on_request(from, *request, now);
    } else if (const auto* update = std::get_if<protocol::lease_update>(&message)) {
        on_leases(from, *update, now);
    } else if (const auto* contents = std::get_if<protocol::shard_contents>(&message)) {
        on_contents(*contents, now);
    } else if (const auto* configured = std::get_if<protocol::configuration_update>(&message)) {
        on_configuration(*configured);
    } else if (const auto* confirmed = std::get_if<protocol::lease_confirmation>(&message)) {
        session_.on_confirmation(*confirmed);
    } else if (const auto* appended = std::get_if<protocol::journal_append_reply>(&message)) {
        if (const auto finished = journal_.on_reply(*appended, now)) {
            on_append_finished(*finished, now);
        }
    }
    dispatch_queued(now);
}

void scheduler_core::report(const backend_report& report, instant now) {
    std::visit(
        [&](const auto& body) {
            using body_type = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<body_type, stream_pieces>) {
                on_pieces(body, now);
            } else if constexpr (std::is_same_v<body_type, stream_finished>) {
                on_stream_finished(body, now);
            } else if constexpr (std::is_same_v<body_type, attempt_failed>) {
                on_attempt_failed(body, now);
            } else if constexpr (std::is_same_v<body_type, request_answered>) {
                on_request_answered(body, now);
            } else if constexpr (std::is_same_v<body_type, seal_answered>) {
                on_seal_answered(body, now);
            } else if constexpr (std::is_same_v<body_type, seal_failed>) {
                // check_running_calls sends the seal request again.
            } else if constexpr (std::is_same_v<body_type, release_confirmed>) {
                for (const program_id& program : body.programs) {
                    cache_releases_.erase({body.backend, program});
                }
            } else if constexpr (std::is_same_v<body_type, status_answered>) {
                on_status(body, now);
            } else if constexpr (std::is_same_v<body_type, status_failed>) {
                for (scheduling::backend_pool& backends : pools_) {
                    backends.failed(body.backend, now);
                }
            } else {
                on_members(body);
            }
        },
        report);
    dispatch_queued(now);
}

void scheduler_core::reset_activity_after_pause(instant now) {
    if (last_tick_ != instant{} && now - last_tick_ > max_tick_gap) {
        // The process was paused and received nothing, so idle times must not count the gap.
        for (auto& [id, runtime] : programs_) {
            runtime.last_activity = now;
        }
    }
    last_tick_ = now;
}

void scheduler_core::tick(instant now) {
    reset_activity_after_pause(now);
    for (protocol::outbound_message& heartbeat : session_.tick(now)) {
        output_.messages.push_back(std::move(heartbeat));
    }
    journal_.tick(now);
    load_shards(now);
    poll_backends(now);
    expire_queued(now);
    check_running_calls(now);
    release_idle_shards(now);
    repeat_cache_releases(now);
    if (now >= next_housekeeping_) {
        next_housekeeping_ = now + housekeeping_interval;
        reap_programs(now);
    }
    const bool fresh = session_.configuration_fresh(now);
    if (session_.configuration_known() && !fresh && !lease_expiry_logged_) {
        event(event_id::configuration_lease_expired,
              "version=" + std::to_string(configuration().version()));
    }
    lease_expiry_logged_ = !fresh;
    dispatch_queued(now);
}

// --- configuration -------------------------------------------------------------------------

void scheduler_core::on_configuration(const protocol::configuration_update& update) {
    if (!session_.on_configuration(update)) {
        return;
    }
    event(event_id::configuration_applied, "version=" + std::to_string(configuration().version()));
    compile_policies();
    for (scheduling::backend_pool& backends : pools_) {
        std::vector<backend_name> names;
        for (const auto& [name, backend] : backends.all()) {
            names.push_back(name);
        }
        for (const backend_name& name : names) {
            backends.set_drained(name, configuration().drained(name));
        }
    }
}

void scheduler_core::compile_policies() {
    for (const auto& [key, item] : configuration().items()) {
        if (key.kind != configuration::item_kind::policy || item.removed ||
            policy_versions_[key.name] == item.version) {
            continue;
        }
        policy_versions_[key.name] = item.version;
        const auto* source = std::get_if<configuration::policy_source>(&item.body);
        auto compiled = scheduling::policy::compile(source == nullptr ? "" : source->text);
        if (compiled) {
            policies_[key.name] = std::move(*compiled);
            continue;
        }
        // The last version that compiled, if any, stays in use.
        ++counters_.policy_failures;
        event(event_id::policy_failed, "policy=" + key.name +
                                           " version=" + std::to_string(item.version) +
                                           " line=" + std::to_string(compiled.error().line) +
                                           " reason=\"" + compiled.error().reason + "\"");
    }
}

scheduling::policy* scheduler_core::policy_for(const configuration::class_settings& settings) {
    const auto found = policies_.find(settings.policy);
    return found == policies_.end() ? nullptr : found->second.get();
}

// --- housekeeping -------------------------------------------------------------------------

void scheduler_core::check_running_calls(instant now) {
    std::vector<attempt_key> stalled;
    std::vector<scheduling::ticket> past_deadline;
    for (auto& [id, call] : calls_) {
        const bool streaming =
            call.state == call_state::running && call.request.kind == journal::call_kind::model;
        if (streaming && now - call.last_progress > settings_.stream_stall) {
            stalled.push_back(key_of(call));
        }
        if (call.state == call_state::resolving && now >= call.next_try) {
            resolve(call, now);
        }
        if (call.state == call_state::awaiting_start_deadline && now >= call.start_deadline) {
            past_deadline.push_back(id);
        }
        if (call.state == call_state::resuming && now >= call.next_try) {
            call.state = call_state::running;
            call.last_progress = now;
            order(resume_stream{call.target, key_of(call), call.pieces.size()});
        }
    }
    for (const attempt_key& key : stalled) {
        on_attempt_failed({key, failure_kind::broken}, now);
    }
    for (const scheduling::ticket id : past_deadline) {
        journal_failure(calls_.at(id), journal::ran_state::unknown, now);
    }
}

void scheduler_core::reap_programs(instant now) {
    std::vector<std::pair<program_id, shard_id>> idle;
    // An active call counts as activity of its program and root: a parent may wait for a sub-agent.
    for (const auto& [id, ticket] : call_of_program_) {
        record_activity(id, now);
    }
    for (const auto& [number, shard] : shards_) {
        if (shard.phase != shard_phase::serving) {
            continue;
        }
        for (const auto& [id, program] : shard.state.programs()) {
            const configuration::class_settings* settings =
                configuration().program_class(program.program_class);
            if (program.closed || settings == nullptr || call_of_program_.contains(id)) {
                continue;
            }
            const duration limit = std::chrono::milliseconds(settings->idle_timeout_ms);
            if (now - programs_[id].last_activity > limit) {
                idle.emplace_back(id, number);
            }
        }
    }
    for (const auto& [id, number] : idle) {
        ++counters_.programs_reaped;
        event(event_id::program_reaped, "program=" + id);
        programs_[id].last_activity = now;
        close_program(id, number, "abandoned", now);
    }
}

}  // namespace tallyfold::scheduler
