#pragma once
/// @file
/// Raft replica (Ongaro and Ousterhout, 2014) as a state machine without I/O and without a clock,
/// with pre-vote, leader stickiness, read index, learners, and single-server membership changes.
///
/// The caller passes in messages and the time, takes the `ready` work, makes it durable, and calls
/// persisted(). It must sync before it sends ready::messages_after_sync, and its times must never
/// decrease. Owns the in-memory log, the term and the vote. Not thread-safe.

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/follower_reads.hpp"
#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/consensus/replica_progress.hpp"
#include "tallyfold/consensus/replicated_log.hpp"

namespace tallyfold::consensus {

struct replica_settings {
    group_id group = 0;
    replica_id self = no_replica;
    /// The randomized timeout is drawn from [election_timeout, 2 * election_timeout].
    duration election_timeout = std::chrono::milliseconds(500);
    duration heartbeat_interval = std::chrono::milliseconds(100);
    /// Shorter election timeout, also randomized up to twice its value, after a start or a failed
    /// pre-vote, so that a fully restarted group elects a leader quickly. Safe since a pre-vote
    /// does not disturb a leader. Zero applies `election_timeout`.
    duration initial_election_timeout = duration::zero();
    /// Minimum interval between rounds for reads, so that many reads don't saturate the group's
    /// connections. Reads that arrive in between share the next round.
    duration min_read_round_interval = duration::zero();
    std::size_t max_entries_per_message = 256;
    /// Limit of unacknowledged payload bytes per replica. A single entry is sent whatever its size.
    std::size_t max_bytes_in_flight = 1U << 20U;
    std::uint64_t seed = 0;
};

/// State recovered from storage at start.
struct recovered_state {
    hard_state state;
    snapshot base;
    std::vector<log_entry> entries;
};

enum class replica_role : std::uint8_t { follower, pre_candidate, candidate, leader };

enum class replica_error : std::uint8_t { not_leader, change_in_progress, invalid_change };

/// Work for the caller: send `messages_before_sync` at any time; make `new_state`,
/// `received_snapshot` and `new_entries` durable; then send `messages_after_sync` and call
/// persisted(). `committed` entries and `confirmed_reads` may be used at once.
struct ready {
    std::vector<replica_message> messages_before_sync;
    std::optional<hard_state> new_state;
    std::optional<snapshot> received_snapshot;
    /// Replace the durable log from the index of the first entry on.
    std::vector<log_entry> new_entries;
    std::vector<replica_message> messages_after_sync;
    std::vector<log_entry> committed;
    std::vector<std::uint64_t> confirmed_reads;
    /// Reads that can no longer be confirmed; the caller may request them again.
    std::vector<std::uint64_t> failed_reads;

    [[nodiscard]] bool needs_sync() const {
        return new_state.has_value() || received_snapshot.has_value() || !new_entries.empty();
    }
};

class replica_fsm {
  public:
    replica_fsm(replica_settings settings, recovered_state recovered, instant now);

    void tick(instant now);
    void step(const replica_message& message, instant now);

    /// Appends a command at the leader. @return its index, which is not yet committed
    tl::expected<log_index, replica_error> propose(std::string payload);
    /// Appends a membership that differs from the current one in at most one voter.
    tl::expected<log_index, replica_error> propose_membership(const membership& next);
    /// Confirms leadership with a quorum in a round started after this call. The token is then
    /// returned in ready::confirmed_reads, or in ready::failed_reads when leadership is lost.
    tl::expected<void, replica_error> request_read(std::uint64_t token, instant now);
    /// Like request_read(), but also at a follower, which requests the read index from the leader
    /// and confirms the read once it has committed up to there. @return an error when no leader is
    /// known
    tl::expected<void, replica_error> request_read_at_any_replica(std::uint64_t token, instant now);

    /// Reports that the log up to `index`, whose entry there has `term`, is durable here.
    void persisted(log_index index, term_number term);
    /// Reports that a snapshot at `index` is durable, and drops the log up to there.
    void compacted(log_index index);

    /// Removes and returns the pending work.
    ready take_ready();
    [[nodiscard]] bool has_ready() const;

    [[nodiscard]] replica_role role() const { return role_; }
    [[nodiscard]] replica_id leader() const { return leader_; }
    [[nodiscard]] term_number term() const { return state_.term; }
    [[nodiscard]] log_index commit_index() const { return commit_index_; }
    [[nodiscard]] const replicated_log& log() const { return log_; }
    [[nodiscard]] const membership& members() const { return memberships_.back().value; }
    /// Membership in effect at `index`, for a snapshot taken there.
    [[nodiscard]] const membership& members_at(log_index index) const;
    /// At the leader: last index known to be durable at `replica`; 0 if unknown.
    [[nodiscard]] log_index match_index(replica_id replica) const;
    /// First membership entry of the log that this build can't decode, if any. The voters from
    /// there on are unknown.
    [[nodiscard]] std::optional<log_index> unreadable_entry() const { return unreadable_entry_; }
    /// True when this replica leads and has committed an entry of its own term, so that its commit
    /// index covers all earlier commits.
    [[nodiscard]] bool has_committed_in_term() const;
    /// At the leader: snapshot for replicas that need entries already compacted here. The caller
    /// keeps it up to date, since this class does not hold the state machine's state.
    void set_snapshot(snapshot latest) { latest_snapshot_ = std::move(latest); }

  private:
    struct membership_entry {
        log_index index;
        membership value;
    };
    struct pending_read {
        std::uint64_t token;
        std::uint64_t round;
        /// Replica that requested the read index, with `token` as its request identifier; none for
        /// a local read.
        replica_id requester = no_replica;
    };

    void become_follower(term_number term, replica_id leader);
    void start_pre_vote(instant now);
    void start_election(instant now);
    void become_leader(instant now);
    void reset_election_deadline(instant now);
    void set_first_election_deadline(instant now);

    void on_vote_request(const replica_message& message, const vote_request& body, instant now);
    void on_vote_reply(const replica_message& message, const vote_reply& body, instant now);
    void on_append_request(const replica_message& message, const append_request& body, instant now);
    void on_append_reply(const replica_message& message, const append_reply& body, instant now);
    void on_snapshot_request(const replica_message& message, const snapshot_request& body,
                             instant now);
    void on_read_index_request(const replica_message& message, const read_index_request& body,
                               instant now);
    void on_read_index_reply(const replica_message& message, const read_index_reply& body);

    /// Follows the sender, which is the leader of the current or a newer term.
    void accept_leader(const replica_message& message, instant now);
    using entry_iterator = std::vector<log_entry>::const_iterator;
    /// Appends the entries that the log lacks. An entry of a different term replaces the existing
    /// one and all that follow.
    void append_missing_entries(entry_iterator entry, entry_iterator end);
    void append_new_entry(entry_kind kind, std::string payload);
    void store_entry(const log_entry& entry);
    void apply_membership(const log_entry& entry);
    void truncate_from(log_index index);
    void send_append(replica_id to, bool allow_empty);
    /// Next entries for `peer`, within the limits of one message and of bytes in flight.
    [[nodiscard]] std::vector<log_entry> next_entries(const replica_progress& peer) const;
    void broadcast_append(bool allow_empty);
    void begin_round(instant now);
    void advance_commit();
    void commit_to(log_index index);
    void queue_read(pending_read read, instant now);
    /// Begins a round when reads wait for one, none is in flight, and `min_read_round_interval` has
    /// passed.
    void begin_round_for_reads(instant now);
    void confirm_reads(instant now);
    void request_read_index(instant now);
    void confirm_follower_reads();
    /// Fails all pending reads, since the leader that would confirm them may have changed.
    void fail_reads();
    void fail_reads(const std::vector<std::uint64_t>& tokens);
    /// Latest round that a quorum of voters has acknowledged.
    [[nodiscard]] std::uint64_t confirmed_round() const;
    void step_down_without_quorum(instant now);
    [[nodiscard]] bool is_log_up_to_date(log_index last_index, term_number last_term) const;
    [[nodiscard]] bool has_recent_leader_contact(instant now) const;
    [[nodiscard]] bool is_voter() const { return members().is_voter(settings_.self); }
    [[nodiscard]] bool should_adopt_term(const replica_message& message, instant now);
    void send(replica_id to, message_body body, bool after_sync);

    replica_settings settings_;
    random_source random_;
    hard_state state_;
    replicated_log log_;
    std::vector<membership_entry> memberships_;
    snapshot latest_snapshot_;

    replica_role role_ = replica_role::follower;
    replica_id leader_ = no_replica;
    log_index commit_index_ = 0;
    log_index persisted_index_ = 0;
    instant election_deadline_{};
    instant heartbeat_due_{};
    instant last_leader_contact_{};
    bool has_had_leader_contact_ = false;

    std::set<replica_id> votes_;
    std::map<replica_id, replica_progress> progress_;
    std::uint64_t round_ = 0;
    instant last_round_start_{};
    std::deque<pending_read> pending_reads_;
    follower_reads follower_reads_;

    ready ready_;
    std::optional<log_index> first_unsaved_index_;
    std::optional<log_index> unreadable_entry_;
};

}  // namespace tallyfold::consensus
