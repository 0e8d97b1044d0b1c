/// @file
/// Acquiring, loading, handing over and losing shards.

#include <algorithm>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::scheduler {

namespace {

using logging::event_id;

/// Time after which the contents of a shard are requested again: several round trips between
/// zones.
constexpr duration shard_read_timeout = std::chrono::milliseconds(300);
/// Retry delay suggested to callers of a program that has moved: the interval at which leaders
/// review the leases.
constexpr std::uint32_t moved_retry_after_ms = 100;

journal::outcome program_moved(journal::ran_state ran) {
    journal::outcome result;
    result.code = journal::answer_code::owner_changed;
    result.ran = ran;
    result.detail = "the program has moved to another scheduler; send the request again";
    result.retry_after_ms = moved_retry_after_ms;
    return result;
}

}  // namespace

void scheduler_core::on_leases(const node_name& from, const protocol::lease_update& update,
                               instant now) {
    journal_.set_leader(update.group, from);
    if (!session_.on_leases(update)) {
        return;
    }
    for (const auto& [shard, lease] : update.leases) {
        const auto owned = shards_.find(shard);
        const bool ours = lease.holder == settings_.node;
        if (owned != shards_.end() && (owned->second.epoch < lease.epoch || !ours)) {
            if (owned->second.epoch <= lease.epoch) {
                lose_shard(shard);
            }
        }
        if (ours && !shards_.contains(shard)) {
            shards_[shard].epoch = lease.epoch;
            event(event_id::shard_assigned,
                  "shard=" + std::to_string(shard) + " epoch=" + std::to_string(lease.epoch));
        }
        shards_to_hand_over_.erase(shard);
    }
    shards_to_hand_over_.insert(update.hand_over.begin(), update.hand_over.end());
    load_shards(now);
}

void scheduler_core::load_shards(instant now) {
    for (auto& [number, shard] : shards_) {
        if (shard.phase != shard_phase::loading ||
            now < shard.read_requested_at + shard_read_timeout) {
            continue;
        }
        shard.read_requested_at = now;
        const group_id group = journal::group_of_shard(number, settings_.journal_groups);
        const node_name leader = journal_.leader_of(group);
        if (!leader.empty()) {
            output_.messages.push_back({leader, protocol::shard_read{group, number, shard.epoch}});
        }
    }
}

void scheduler_core::on_contents(const protocol::shard_contents& contents, instant now) {
    const auto found = shards_.find(contents.shard);
    if (found == shards_.end() || found->second.phase != shard_phase::loading ||
        found->second.epoch != contents.epoch) {
        return;
    }
    auto state = protocol::decode<journal::shard_state>(contents.state);
    if (!state) {
        return;
    }
    owned_shard& shard = found->second;
    shard.state = std::move(*state);
    shard.phase = shard_phase::serving;
    for (const auto& [id, program] : shard.state.programs()) {
        programs_[id].last_activity = now;
        programs_[id].first_seen = now;
        if (program.closed) {
            // The previous owner may have lost the shard before the cache release was confirmed.
            queue_cache_release(id, now);
        }
    }
    event(event_id::shard_loaded, "shard=" + std::to_string(contents.shard) +
                                      " epoch=" + std::to_string(contents.epoch) +
                                      " programs=" + std::to_string(shard.state.programs().size()));
}

void scheduler_core::lose_shard(shard_id number) {
    const auto found = shards_.find(number);
    if (found == shards_.end()) {
        return;
    }
    if (!found->second.release_sent) {
        event(event_id::shard_lost,
              "shard=" + std::to_string(number) + " epoch=" + std::to_string(found->second.epoch));
    }
    journal_.discard_shard(number);
    std::vector<scheduling::ticket> lost;
    for (auto& [id, call] : calls_) {
        if (call.shard == number) {
            lost.push_back(id);
        }
    }
    for (const scheduling::ticket id : lost) {
        drop_moved_call(id);
    }
    remove_programs(number);
    shards_.erase(found);
}

void scheduler_core::drop_moved_call(scheduling::ticket id) {
    active_call& call = calls_.at(id);
    // A begin_attempt sent to the journal may be committed later, so only a call that is still
    // queued is known not to have run.
    const bool not_begun = call.state == call_state::queued && !call.maybe_ran;
    reply_all(call,
              program_moved(not_begun ? journal::ran_state::no : journal::ran_state::unknown));
    if (call.state == call_state::running && call.request.kind == journal::call_kind::model) {
        order(cancel_stream{call.target, key_of(call)});
    }
    drop_call(id);
}

void scheduler_core::remove_programs(shard_id number) {
    // Programs whose opening or closing is not yet committed have waiters too.
    const journal::outcome answer = program_moved(journal::ran_state::unknown);
    std::erase_if(programs_, [&](const auto& entry) {
        if (shard_number(entry.first) != number) {
            return false;
        }
        for (const waiter& requester : entry.second.open_waiters) {
            reply(requester, answer);
        }
        for (const waiter& requester : entry.second.close_waiters) {
            reply(requester, answer);
        }
        return true;
    });
}

void scheduler_core::drain() {
    draining_ = true;
    session_.set_draining();
    session_.expedite_heartbeat();
}

bool scheduler_core::drained() const {
    return draining_ && shards_.empty() && calls_.empty() && cache_releases_.empty();
}

void scheduler_core::release_idle_shards(instant now) {
    for (auto& [number, shard] : shards_) {
        const bool handover_requested = draining_ || shards_to_hand_over_.contains(number);
        if (!handover_requested && shard.phase == shard_phase::handing_over &&
            !shard.release_sent) {
            // The handover was withdrawn, so this scheduler serves the shard again.
            shard.phase = shard_phase::serving;
        }
        if (!handover_requested || shard.phase == shard_phase::loading) {
            continue;
        }
        // In this phase new calls are refused, so that the shard becomes idle.
        shard.phase = shard_phase::handing_over;
        const bool in_use =
            journal_.has_commands(number) ||
            std::any_of(calls_.begin(), calls_.end(), [shard_id = number](const auto& entry) {
                return entry.second.shard == shard_id;
            });
        if (in_use || shard.release_sent) {
            continue;
        }
        shard.release_sent = true;
        journal_.append({number, shard.epoch, {}},
                        journal::journal_command(journal::release_shard{number, shard.epoch}), now);
        event(event_id::shard_released,
              "shard=" + std::to_string(number) + " epoch=" + std::to_string(shard.epoch));
    }
}

}  // namespace tallyfold::scheduler
