#pragma once
/// @file
/// One node of the directory: a replica of its log, the state machine that the log drives, and the
/// leader's planning of members and store groups. Owns the replica and the state; its shell carries
/// out directory_work in the documented order. Pure: messages and time in, directory_work out.
///
/// Rules for nodes of different builds:
/// - Log entries are written in a format that all active nodes can read (format_tracker).
/// - A replica that cannot read a committed entry halts: it acknowledges nothing more, does not
///   vote or lead, and gives no proofs.

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/configuration_source.hpp"
#include "tallyfold/plane/directory/directory_settings.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"
#include "tallyfold/plane/directory/directory_work.hpp"
#include "tallyfold/plane/directory/format_tracker.hpp"
#include "tallyfold/plane/directory/leader_stall_log.hpp"
#include "tallyfold/plane/directory/member_planner.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/directory/pending_requests.hpp"
#include "tallyfold/plane/directory/store_planner.hpp"

namespace tallyfold::directory {

class directory_core {
  public:
    directory_core(directory_settings settings, consensus::replica_id identity,
                   const consensus::recovered_state& recovered, instant now);

    /// Drives elections, heartbeats, join requests and the leader's planning.
    void tick(instant now);
    /// @param from address of the sender, used for replicas that are not in the membership
    void receive(const node_name& from, const consensus::replica_message& message, instant now);
    void receive(const join_request& request, instant now);
    /// @param format the newest format that the reporting node supports
    /// @return what the node lacks; no proof of its version
    node_report_answer receive(const node_report& report, instant now,
                               protocol::format_version format = protocol::newest_format);
    /// Returns the requested part of a newer configuration.
    configuration_part receive(const configuration_request& request);
    /// Returns what the reporting node lacks, according to this node's state.
    [[nodiscard]] node_report_answer answer_to(const node_report& report) const;
    /// Records the format that a node supports.
    /// @param node its name, or the address of a directory node
    void record_peer_format(const node_name& node, protocol::format_version format, instant now);
    /// False while some node may not support `format`, so that nothing may be committed that
    /// requires it. True once the state requires it.
    [[nodiscard]] bool may_use_format(protocol::format_version format, instant now) const;
    /// The evacuated zones, for the nodes that report.
    [[nodiscard]] evacuation_status evacuations() const;
    [[nodiscard]] const format_tracker& formats() const { return formats_; }
    /// True when this replica has halted because it cannot read what its group has committed.
    [[nodiscard]] bool is_halted() const { return halted_; }

    /// Appends a command; take_work() returns its answer.
    void submit(request_token token, const directory_command& command);
    /// Confirms that this leader's state is the newest; take_work() returns the answer.
    void confirm(request_token token, instant now);
    /// Proves at any replica, leading or not, that its state is the newest; take_work() returns the
    /// proof. Tokens of proofs and answers are separate.
    void prove(request_token token, instant now);

    /// Returns the pending work; to be called until it is empty.
    directory_work take_work();
    /// Reports that the write of the last work is durable.
    void persisted();

    [[nodiscard]] const directory_state& state() const { return state_; }
    /// Sets a committed state that was applied before the restart, so that it can be served before
    /// a leader has confirmed the log. Commands are never applied to it.
    void set_previous_state(directory_state previous) { previous_state_ = std::move(previous); }
    [[nodiscard]] bool leads() const;
    /// Address ("ip:port") of the leader; empty when unknown.
    [[nodiscard]] node_name leader_address() const;
    [[nodiscard]] consensus::term_number term() const { return replica_.term(); }
    /// Rank of this node by address among the members that do not lead.
    [[nodiscard]] std::size_t rank_behind_leader() const;
    /// Assesses whether the node's store may be retired now. Leader only.
    [[nodiscard]] retirement_assessment assess_retirement(const node_name& node,
                                                          instant now) const {
        return store_planner_.assess_retirement(state_, node, pending_.nodes_to_retire(), now);
    }
    /// Disks of the node's store that are known to the leader; empty for an unknown store.
    [[nodiscard]] std::vector<turns::store_id> disks_of(const node_name& node, instant now) const {
        return store_planner_.disks_of(state_, node, now);
    }
    /// Number of store groups that cannot be repaired now because too few live stores are
    /// available; 0 at a node that does not lead.
    [[nodiscard]] std::size_t unrepaired_group_count() const { return unrepaired_group_count_; }
    [[nodiscard]] const consensus::replica_fsm& replica() const { return replica_; }

  private:
    void log(logging::event_id id, std::string fields);
    void answer(request_token token, answer_kind kind);
    /// The newest configuration known to have been in force, from the log or from before the
    /// restart.
    [[nodiscard]] const configuration_pointer& newest_known_configuration() const;

    void handle_leadership_change(instant now);
    /// Begins and completes changes of the members and of the store groups. Leader only.
    void plan_changes(instant now);
    void plan_members(instant now);
    void plan_stores(instant now);
    /// Sends join requests when this node is not a member or receives no messages from a leader.
    void request_to_join(instant now);
    /// Passes a join request on to the leader. A replica with an empty disk knows only the seeds,
    /// and the leader need not be one of them.
    void forward_to_leader(const join_request& request, instant now);
    [[nodiscard]] bool is_member() const;

    /// Moves the replica's output into work_ and `write`.
    void take_ready(consensus::group_write& write);
    void apply(const consensus::log_entry& entry);
    void apply_command(const consensus::log_entry& entry);
    void log_changed_groups(turns::map_epoch since);
    /// Halts this replica permanently after it failed to read committed data.
    /// @param what log fields that identify it
    void halt(const std::string& what, const std::string& reason);
    void check_membership_entries();
    /// Adds the full configuration for a node that cannot fetch parts.
    void add_full_configuration(const node_report& report, node_report_answer& answer);
    /// Logs, at a limited rate, what is deferred because a node supports only format v1.
    void log_format_wait(const std::string& what, const node_name& node, instant now);
    void complete_read(std::uint64_t number, bool confirmed);
    [[nodiscard]] addressed_message address(consensus::replica_message message) const;
    void queue(std::vector<consensus::replica_message>& messages,
               std::vector<addressed_message>& queued) const;
    void add_snapshot_when_due(consensus::group_write& write);

    directory_settings settings_;
    consensus::replica_id identity_;
    consensus::replica_fsm replica_;
    directory_state state_;
    directory_state previous_state_;
    configuration_source source_;
    consensus::log_index applied_ = 0;
    /// Bytes of payload applied since the last snapshot.
    std::size_t applied_bytes_ = 0;
    /// The same, uncompressed.
    std::size_t applied_disk_bytes_ = 0;
    member_planner member_planner_;
    store_planner store_planner_;
    leader_stall_log stall_log_;
    std::size_t unrepaired_group_count_ = 0;
    pending_requests pending_;
    /// Address of each replica's last message, for replicas that are not in the membership.
    std::map<consensus::replica_id, node_name> addresses_;
    /// When a join request of each replica was last forwarded to the leader.
    std::map<consensus::replica_id, instant> forwarded_joins_;
    format_tracker formats_;
    bool halted_ = false;
    instant next_format_log_{};
    bool was_leading_ = false;
    instant next_plan_{};
    instant next_join_{};
    instant last_leader_message_{};
    directory_work work_;
    /// The last entry of the pending write, and the snapshot in it.
    std::optional<std::pair<consensus::log_index, consensus::term_number>> pending_write_;
    std::optional<consensus::snapshot> pending_snapshot_;
    /// The write that bootstraps a new directory; part of the first work.
    std::optional<consensus::group_write> bootstrap_write_;
};

}  // namespace tallyfold::directory
