#pragma once
/// @file
/// Decides, at the leader of a journal group, which scheduler should hold which shard.

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
    /// What to do now: leases to propose, and shards whose holder should hand them over.
    struct plan {
        std::vector<journal::assign_shard> assignments;
        std::vector<shard_id> hand_over;
    };

    /// Called when leadership is gained: silence from before is no sign of death.
    void start_grace(instant until) { grace_until_ = until; }

    /// @param shards the group's shards with their committed leases
    /// @param live schedulers heard of recently
    plan decide(const std::map<shard_id, journal::shard_lease>& shards,
                const std::map<node_name, live_scheduler>& live, instant now);

    /// The scheduler that a shard belongs to by rendezvous hashing: when one joins or leaves,
    /// only its own share moves.
    static node_name preferred_holder(shard_id shard,
                                      const std::map<node_name, live_scheduler>& live);

    [[nodiscard]] const std::vector<shard_id>& hand_over() const { return hand_over_; }

  private:
    struct proposal {
        lease_epoch from_epoch = 0;
        instant made{};
    };
    instant grace_until_{};
    std::map<shard_id, proposal> proposed_;
    std::vector<shard_id> hand_over_;
};

}  // namespace tallyfold::control
