#pragma once
/// @file
/// Assigns the shards of a journal group to schedulers; used by the group's leader.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/journal/types.hpp"

namespace tallyfold::control {

struct live_scheduler {
    std::string address;
    bool draining = false;
};

class lease_assigner {
  public:
    /// Leases to propose, and shards that their holder is asked to release.
    struct plan {
        std::vector<journal::assign_shard> assignments;
        std::vector<shard_id> hand_over;
    };

    /// Starts a grace period for holders when leadership is gained: a new leader may not have
    /// received their heartbeats yet.
    void start_grace(instant until) { grace_until_ = until; }

    /// @param shards the group's shards with their committed leases
    /// @param live schedulers with a recent heartbeat
    plan decide(const std::map<shard_id, journal::shard_lease>& shards,
                const std::map<node_name, live_scheduler>& live, instant now);

    /// Preferred scheduler of a shard by rendezvous hashing: when a scheduler joins or leaves, only
    /// its own share moves.
    static node_name preferred_holder(shard_id shard,
                                      const std::map<node_name, live_scheduler>& live);

    [[nodiscard]] const std::vector<shard_id>& hand_over() const { return hand_over_; }

  private:
    struct proposal {
        lease_epoch from_epoch = 0;
        instant proposed_at{};
    };
    instant grace_until_{};
    std::map<shard_id, proposal> proposed_;
    std::vector<shard_id> hand_over_;
};

}  // namespace tallyfold::control
