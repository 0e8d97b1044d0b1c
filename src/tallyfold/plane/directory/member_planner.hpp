#pragma once
/// @file
/// Plans the next change of the directory's own membership. Owns the times of the last messages and
/// the join requests that the leader has received. Pure; runs at the leader.
///
/// One replica changes at a time, in this order:
/// - remove a replica whose disk is lost, but for a short time only while a quorum remains larger
///   than the tolerated losses;
/// - add a joining replica as a learner;
/// - promote a learner that has caught up;
/// - remove a silent member.

#include <map>
#include <optional>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/messages.hpp"

namespace tallyfold::directory {

/// The leader's view of its replication group.
struct replication_view {
    consensus::membership members;
    consensus::log_index commit_index = 0;
    /// Last index that is known to be durable at each member.
    std::map<consensus::replica_id, consensus::log_index> matched;
};

/// Returns the view of a leading replica.
replication_view view_of(const consensus::replica_fsm& replica);

struct member_planner_settings {
    /// Maximum number of voters; further members remain learners.
    std::size_t max_voters = 5;
    /// Minimum number of voters when a silent one is removed without a successor: twice the
    /// tolerated losses and one.
    std::size_t min_voters = 3;
    /// Silence after which a voter is replaced by a learner that has caught up, or removed when
    /// enough voters remain: a failed voter reduces the losses that the group tolerates. Several
    /// election timeouts.
    duration silence_timeout = std::chrono::seconds(4);
    /// Silence after which a voter beyond min_voters is removed. While it stays, quorums are larger
    /// and fewer further losses are tolerated; it joins again when it returns.
    duration surplus_silence_timeout = std::chrono::milliseconds(1'500);
    /// Silence after which a learner is removed. Longer than a restart, since a silent learner
    /// costs only messages.
    duration learner_silence_timeout = std::chrono::seconds(15);
};

class member_planner {
  public:
    explicit member_planner(member_planner_settings settings) : settings_(settings) {}

    /// Handles the start of this node's leadership.
    void start(instant now);
    /// Records a message from `replica`.
    void on_message(consensus::replica_id replica, instant now) { last_message_[replica] = now; }
    void on_join(const join_request& request, instant now);
    /// The membership to propose; empty for no change.
    [[nodiscard]] std::optional<consensus::membership> plan(const replication_view& view,
                                                            consensus::replica_id self,
                                                            instant now) const;
    /// Number of voters other than `self` that have been silent for `silence_timeout`.
    [[nodiscard]] std::size_t silent_voter_count(const consensus::membership& members,
                                                 consensus::replica_id self, instant now) const;

  private:
    /// The first silent member that can be removed.
    /// @param has_successor true when a learner has caught up
    [[nodiscard]] std::optional<consensus::replica_id> removable_member(
        const consensus::membership& members, bool has_successor, consensus::replica_id self,
        instant now) const;
    struct joining_replica {
        node_name address;
        instant first_requested_at{};
        instant requested_at{};
    };
    [[nodiscard]] bool is_silent(consensus::replica_id id, duration limit, instant now) const;
    /// False for a request that is too old, or that arrived late: a member at the same address was
    /// heard after it, so the disk that asked to join is not the present one.
    [[nodiscard]] bool is_current(const joining_replica& joining,
                                  const consensus::membership& members, consensus::replica_id id,
                                  instant now) const;
    /// A member other than `self` whose disk was replaced.
    [[nodiscard]] std::optional<consensus::replica_id> lost_disk(
        const consensus::membership& members, consensus::replica_id self, instant now) const;
    /// A member whose node has lost its disk and has joined as another member.
    [[nodiscard]] std::optional<consensus::replica_id> replaced_member(
        const consensus::membership& members, consensus::replica_id self, instant now) const;
    /// @param known_since when its successor was first heard
    [[nodiscard]] bool may_remove_lost(const consensus::membership& members,
                                       consensus::replica_id lost, instant known_since,
                                       instant now) const;
    /// Time of the replica's last message, or of the start of the leadership.
    [[nodiscard]] instant last_heard(consensus::replica_id id) const;
    [[nodiscard]] std::optional<consensus::replica_id> promotable_learner(
        const replication_view& view, instant now) const;

    member_planner_settings settings_;
    instant leading_since_{};
    std::map<consensus::replica_id, instant> last_message_;
    std::map<consensus::replica_id, joining_replica> join_requests_;
};

}  // namespace tallyfold::directory
