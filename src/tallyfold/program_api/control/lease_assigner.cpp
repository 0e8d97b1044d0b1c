#include "tallyfold/program_api/control/lease_assigner.hpp"

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::control {

namespace {

/// Maximum number of shards moving away from live holders at once, so that a joining scheduler does
/// not interrupt a whole group.
constexpr std::size_t max_moving_shards = 4;
constexpr duration proposal_timeout = std::chrono::milliseconds(500);

}  // namespace

node_name lease_assigner::preferred_holder(shard_id shard,
                                           const std::map<node_name, live_scheduler>& live) {
    node_name best;
    std::uint64_t best_score = 0;
    for (const auto& [node, scheduler] : live) {
        if (scheduler.draining) {
            continue;
        }
        const std::uint64_t score = stable_hash(node, shard);
        if (best.empty() || score > best_score) {
            best = node;
            best_score = score;
        }
    }
    return best;
}

lease_assigner::plan lease_assigner::decide(const std::map<shard_id, journal::shard_lease>& shards,
                                            const std::map<node_name, live_scheduler>& live,
                                            instant now) {
    plan result;
    for (const auto& [shard, lease] : shards) {
        const node_name preferred = preferred_holder(shard, live);
        if (preferred.empty()) {
            continue;
        }
        const bool holder_live = !lease.holder.empty() && live.contains(lease.holder);
        if (holder_live) {
            if (lease.holder != preferred && result.hand_over.size() < max_moving_shards) {
                result.hand_over.push_back(shard);
            }
            continue;
        }
        if (!lease.holder.empty() && now < grace_until_) {
            continue;
        }
        proposal& last = proposed_[shard];
        const bool proposal_pending = last.proposed_at != instant{} &&
                                      last.from_epoch == lease.epoch &&
                                      now - last.proposed_at < proposal_timeout;
        if (proposal_pending) {
            continue;
        }
        last = {lease.epoch, now};
        result.assignments.push_back({shard, lease.epoch, preferred});
    }
    hand_over_ = result.hand_over;
    return result;
}

}  // namespace tallyfold::control
