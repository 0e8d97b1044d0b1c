#pragma once
/// @file
/// Decides the next change of the directory's own membership, one replica at a time. Pure; runs
/// at the leader.

#include <map>
#include <optional>

#include "tallyfold/common/time.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/directory/messages.hpp"

namespace tallyfold::directory {

struct member_planner_settings {
    /// Replicas with a vote at most; more members stay learners.
    std::size_t most_voters = 5;
    /// A voter that was silent for this long makes room when a caught-up learner stands ready.
    duration silence = std::chrono::seconds(4);
    /// A learner that was silent for this long is forgotten.
    duration learner_silence = std::chrono::seconds(15);
};

class member_planner {
  public:
    explicit member_planner(member_planner_settings settings) : settings_(settings) {}

    /// This node has begun to lead.
    void start(instant now);
    /// A message came from `replica`.
    void heard(consensus::replica_id replica, instant now) { heard_[replica] = now; }
    void on_join(const join_request& request, instant now);
    /// The membership to propose, or nothing.
    [[nodiscard]] std::optional<consensus::membership> plan(const consensus::replica_fsm& replica,
                                                            consensus::replica_id self,
                                                            instant now) const;

  private:
    struct joining_replica {
        node_name address;
        instant asked{};
    };
    [[nodiscard]] bool silent(consensus::replica_id id, duration limit, instant now) const;
    [[nodiscard]] std::optional<consensus::replica_id> lost_disk(
        const consensus::membership& members, instant now) const;
    [[nodiscard]] std::optional<consensus::replica_id> ready_learner(
        const consensus::replica_fsm& replica, instant now) const;

    member_planner_settings settings_;
    instant started_{};
    std::map<consensus::replica_id, instant> heard_;
    std::map<consensus::replica_id, joining_replica> joining_;
};

}  // namespace tallyfold::directory
