/// @file
/// Routing of requests, and the commands that open and close programs. Requests are validated
/// against the owner's copy before journalling, so that a refusal proves that nothing ran.

#include <algorithm>

#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tallyfold/program_api/scheduler/commands/refusal.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using journal::answer_code;
using journal::outcome;
using journal::ran_state;

/// Retry delay suggested if this scheduler does not own the program: half of a node's heartbeat
/// interval, in which gateways usually receive the new lease.
constexpr std::uint32_t owner_retry_after_ms = 200;

outcome success(std::string answer) {
    outcome result;
    result.ran = ran_state::yes;
    result.answer = std::move(answer);
    return result;
}

const program_id& program_of(const protocol::scheduler_call& call) {
    return std::visit(
        [](const auto& body) -> const program_id& {
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, protocol::open_call>) {
                return body.program.id;
            } else {
                return body.program;
            }
        },
        call);
}

}  // namespace

void scheduler_core::on_request(const node_name& from, const protocol::scheduler_request& request,
                                instant now) {
    const waiter requester{from, request.correlation};
    const program_id id = program_of(request.call);
    const shard_id number = shard_number(id);
    const auto found = shards_.find(number);
    const bool joins = call_of_program_.contains(id);
    const bool serves =
        found != shards_.end() && (found->second.phase == shard_phase::serving ||
                                   (found->second.phase != shard_phase::loading && joins));
    if (!serves) {
        reply(requester, refusal(answer_code::owner_changed,
                                 "this scheduler does not own the program; ask its owner",
                                 owner_retry_after_ms));
        return;
    }
    if (const auto* inspect = std::get_if<protocol::inspect_call>(&request.call)) {
        on_inspect(requester, *inspect, found->second, now);
        return;
    }
    const group_id group = journal::group_of_shard(number, settings_.journal_groups);
    if (!session_.lease_valid(group, now) && !repeats_active(request.call)) {
        // Without a valid lease this copy may be stale, so no refusal may be based on it.
        reply(requester, refusal(answer_code::owner_changed,
                                 "this scheduler cannot confirm that it still owns the program",
                                 owner_retry_after_ms));
        return;
    }
    record_activity(id, now);
    run_command(requester, request.call, found->second, number, now);
}

void scheduler_core::run_command(const waiter& requester, const protocol::scheduler_call& command,
                                 owned_shard& shard, shard_id number, instant now) {
    if (const auto* call = std::get_if<protocol::program_call>(&command)) {
        on_call(requester, *call, shard, number, now);
        return;
    }
    if (!session_.configuration_fresh(now)) {
        reply(requester, stale_configuration());
        return;
    }
    if (const auto* open = std::get_if<protocol::open_call>(&command)) {
        on_open(requester, *open, shard, number, now);
    } else if (const auto* close = std::get_if<protocol::close_call>(&command)) {
        on_close(requester, *close, shard, number, now);
    }
}

void scheduler_core::record_activity(const program_id& id, instant now) {
    // Activity of a sub-agent also keeps its root from being reaped.
    for (const program_id& active_id : {id, journal::root_program_id(id)}) {
        const auto runtime = programs_.find(active_id);
        if (runtime != programs_.end()) {
            runtime->second.last_activity = now;
        }
    }
}

void scheduler_core::on_open(const waiter& requester, const protocol::open_call& call,
                             owned_shard& shard, shard_id number, instant now) {
    const journal::open_program& wanted = call.program;
    if (std::optional<outcome> refused = refuse_open(wanted)) {
        reply(requester, std::move(*refused));
        return;
    }
    if (const journal::program_record* existing = shard.state.find(wanted.id)) {
        const bool same = existing->request_identity == wanted.request_identity;
        reply(requester, same ? success(wanted.id)
                              : refusal(answer_code::identity_conflict,
                                        "the program's identifier is taken by another request"));
        return;
    }
    if (wanted.root != wanted.id) {
        const journal::program_record* root = shard.state.find(wanted.root);
        if (root == nullptr || root->closed) {
            reply(requester, refusal(root == nullptr ? answer_code::program_not_found
                                                     : answer_code::program_closed,
                                     "the parent program is not open"));
            return;
        }
    }
    program_runtime& runtime = programs_[wanted.id];
    runtime.last_activity = now;
    if (runtime.first_seen == instant{}) {
        runtime.first_seen = now;
    }
    runtime.open_waiters.push_back(requester);
    if (runtime.open_waiters.size() > 1) {
        return;
    }
    journal_.append({number, shard.epoch, wanted.root},
                    journal::journal_command(journal::owner_command{
                        number, shard.epoch, journal::program_change(wanted)}),
                    now);
}

std::optional<outcome> scheduler_core::refuse_open(const journal::open_program& wanted) const {
    if (configuration().tenant(wanted.tenant) == nullptr) {
        return refusal(answer_code::unknown_tenant,
                       "no tenant is named '" + wanted.tenant + "'; ask an operator");
    }
    const configuration::class_settings* settings =
        configuration().program_class(wanted.program_class);
    if (settings == nullptr) {
        return refusal(answer_code::unknown_class,
                       "no class is named '" + wanted.program_class + "'; ask an operator");
    }
    const bool is_root = wanted.root == wanted.id;
    if (is_root && (wanted.budget == 0 || wanted.budget > settings->budget_limit)) {
        return refusal(answer_code::over_budget, "the budget must lie between 1 and " +
                                                     std::to_string(settings->budget_limit) +
                                                     " tokens");
    }
    return std::nullopt;
}

void scheduler_core::on_close(const waiter& requester, const protocol::close_call& call,
                              owned_shard& shard, shard_id number, instant now) {
    const journal::program_record* program = shard.state.find(call.program);
    if (program == nullptr) {
        reply(requester, refusal(answer_code::program_not_found, "no such program"));
        return;
    }
    if (program->closed) {
        reply(requester, success(program->close_reason));
        return;
    }
    program_runtime& runtime = programs_[call.program];
    runtime.close_waiters.push_back(requester);
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
        {number, epoch, journal::root_program_id(id)},
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
            const bool not_begun = call->state == call_state::queued && !call->maybe_ran;
            result.ran = not_begun ? ran_state::no : ran_state::unknown;
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
        for (const waiter& requester : runtime->second.close_waiters) {
            reply(requester, success(change.reason));
        }
        // The decisions stay available for inspection; the rest is freed.
        runtime->second.close_waiters.clear();
        runtime->second.points.clear();
        runtime->second.points.shrink_to_fit();
    }
}

}  // namespace tallyfold::scheduler
