#pragma once
/// @file
/// Decides the next change of the directory's own membership, one replica at a time, in this order:
/// remove a replica whose disk is lost, take a joining replica in as learner, let a caught-up
/// learner vote, remove a silent member. Owns what the leader has heard of replicas. Pure; runs at
/// the leader.

#include <map>
#include <optional>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

/// What the leader's replica says of its group.
struct replication_view {
    consensus::membership members;
    consensus::log_index commit_index = 0;
    /// Last index that each member is known to hold durably.
    std::map<consensus::replica_id, consensus::log_index> matched;
};

/// The view of a replica that leads.
replication_view view_of(const consensus::replica_fsm& replica);

struct member_planner_settings {
    /// Replicas with a vote at most; more members stay learners.
    std::size_t max_voters = 5;
    /// Voters that have to remain when a silent one is removed without a successor.
    std::size_t min_voters = 3;
    /// A voter that was silent for this long makes room for a caught-up learner, or is removed
    /// when enough others remain: a dead voter costs the group one further loss. Chosen, not
    /// measured: ten times an election's time-out.
    duration silence_timeout = std::chrono::seconds(4);
    /// A learner that was silent for this long is removed. Chosen, not measured: it costs nothing
    /// but messages, so it may restart meanwhile.
    duration learner_silence_timeout = std::chrono::seconds(15);
};

class member_planner {
  public:
    explicit member_planner(member_planner_settings settings) : settings_(settings) {}

    /// This node has begun to lead.
    void start(instant now);
    /// A message came from `replica`.
    void on_message(consensus::replica_id replica, instant now) { last_message_[replica] = now; }
    void on_join(const join_request& request, instant now);
    /// The membership to propose, or nothing.
    [[nodiscard]] std::optional<consensus::membership> plan(const replication_view& view,
                                                            consensus::replica_id self,
                                                            instant now) const;

  private:
    /// The first silent voter that may go, or the first learner that was silent for too long.
    /// @param has_successor a learner stands ready to vote
    [[nodiscard]] std::optional<consensus::replica_id> removable_member(
        const consensus::membership& members, bool has_successor, consensus::replica_id self,
        instant now) const;
    struct joining_replica {
        node_name address;
        instant requested_at{};
    };
    [[nodiscard]] bool is_silent(consensus::replica_id id, duration limit, instant now) const;
    [[nodiscard]] std::optional<consensus::replica_id> lost_disk(
        const consensus::membership& members, instant now) const;
    [[nodiscard]] std::optional<consensus::replica_id> promotable_learner(
        const replication_view& view, instant now) const;

    member_planner_settings settings_;
    instant leading_since_{};
    std::map<consensus::replica_id, instant> last_message_;
    std::map<consensus::replica_id, joining_replica> join_requests_;
};

}  // namespace tallyfold::directory
