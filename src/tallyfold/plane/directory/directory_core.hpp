#pragma once
/// @file
/// One node of the directory: a replica of its log, the state that the log makes, and the leader's
/// plans for members and store groups. Pure: messages and the time in, directory_work out. Owns the
/// replica and the state; relies on its shell to do the work in the order that directory_work says.
///
/// Nodes of several builds may be in touch. What is written into the log is of a form that all of
/// them read (format_survey). A replica that can't read what its group has committed stands still:
/// it acknowledges nothing more, doesn't vote or lead, and proves nothing.

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
#include "tallyfold/plane/directory/format_survey.hpp"
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

    /// Lets elections, heartbeats, requests to join and the leader's plans take place.
    void tick(instant now);
    /// @param from address that the message came from, for a replica no membership names yet
    void receive(const node_name& from, const consensus::replica_message& message, instant now);
    void receive(const join_request& request, instant now);
    /// @param format the newest form that the reporting node knows
    /// @return what the node lacks; it proves nothing
    node_report_answer receive(const node_report& report, instant now,
                               protocol::format_version format = protocol::newest_format);
    /// The part of a newer configuration that a node asks for.
    configuration_part receive(const configuration_request& request);
    /// What a reporting node lacks, as this node sees it now.
    [[nodiscard]] node_report_answer answer_to(const node_report& report) const;
    /// A message came from a node that knows `format`. @param node its name, or the address of a
    /// directory node
    void heard_format(const node_name& node, protocol::format_version format, instant now);
    /// False while a node may be met that knows the first form alone: a configuration with tenants
    /// would be none to it. True once one is in force.
    [[nodiscard]] bool may_bring_tenants(instant now) const;
    [[nodiscard]] const format_survey& formats() const { return formats_; }
    /// True when this replica can't read what its group has committed.
    [[nodiscard]] bool stands_still() const { return halted_; }

    /// Appends a command; its answer comes out of take_work().
    void submit(request_token token, const directory_command& command);
    /// Confirms that this leader's state is the newest; the answer comes out of take_work().
    void confirm(request_token token, instant now);
    /// The same at any node, the leader or not; the proof comes out of take_work(). Tokens of
    /// proofs and of answers are apart.
    void prove(request_token token, instant now);

    /// All that is to be done now; to be taken again until it is empty.
    directory_work take_work();
    /// The last work's write is durable.
    void persisted();

    [[nodiscard]] const directory_state& state() const { return state_; }
    /// Takes over a committed state that this node had applied before its restart, so that other
    /// nodes learn it before a leader has confirmed the log. It is shown, never built upon.
    void show_earlier_state(directory_state previous) { previous_state_ = std::move(previous); }
    [[nodiscard]] bool leads() const;
    /// "ip:port" of the node that leads, as far as this one knows; empty for none.
    [[nodiscard]] node_name leader_address() const;
    [[nodiscard]] consensus::term_number term() const { return replica_.term(); }
    /// Place of this node among the members that don't lead, by address.
    [[nodiscard]] std::size_t rank_behind_leader() const;
    [[nodiscard]] bool may_retire(const node_name& node) const {
        return store_planner_.may_retire(state_, node);
    }
    /// False while this leader may not have heard every live store yet.
    [[nodiscard]] bool has_listened(instant now) const { return store_planner_.has_listened(now); }
    /// Disks of the node's store that the leader has heard of; empty when it knows no such store.
    [[nodiscard]] std::vector<turns::store_id> disks_of(const node_name& node) const {
        return store_planner_.disks_of(state_, node);
    }
    [[nodiscard]] const consensus::replica_fsm& replica() const { return replica_; }

  private:
    void log(logging::event_id id, std::string fields);
    void answer(request_token token, answer_kind kind);
    /// The newest configuration that this node knows to have been in force, now or before its
    /// restart.
    [[nodiscard]] const configuration_pointer& newest_known_configuration() const;

    void follow_leadership(instant now);
    /// Begins and ends changes of the members and of the store groups, as leader.
    void plan_changes(instant now);
    void plan_members(instant now);
    void plan_stores(instant now);
    /// Asks the other nodes to be taken in when this one is no member, or no leader speaks to it.
    void request_to_join(instant now);
    [[nodiscard]] bool is_member() const;

    /// Sorts what the replica hands out into work_ and into the write.
    void take_ready(consensus::group_write& write);
    void apply(const consensus::log_entry& entry);
    void apply_command(const consensus::log_entry& entry);
    void log_changed_groups(turns::map_epoch since);
    /// Ends this replica's part in its group. @param what can't be read, and why
    void halt(const std::string& what, const std::string& reason);
    void check_membership_entries();
    /// Gives the configuration whole to a node that knows no other way.
    void add_full_configuration(const node_report& report, node_report_answer& answer);
    /// Logs, now and then, what has to wait for nodes that know the first form alone.
    void log_awaited_format(const std::string& what, const node_name& node, instant now);
    void end_read(std::uint64_t number, bool confirmed);
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
    /// Payload applied since the last snapshot was taken here, in bytes.
    std::size_t applied_bytes_ = 0;
    /// The same without compression.
    std::size_t applied_disk_bytes_ = 0;
    member_planner member_planner_;
    store_planner store_planner_;
    leader_stall_log stall_log_;
    pending_requests pending_;
    /// Addresses of replicas by their last message, for those that the membership doesn't name.
    std::map<consensus::replica_id, node_name> addresses_;
    format_survey formats_;
    bool halted_ = false;
    instant next_format_log_{};
    bool was_leading_ = false;
    instant next_plan_{};
    instant next_join_{};
    /// When the leader's last message came.
    instant last_leader_message_{};
    directory_work work_;
    /// The last entry of the write under way, and the snapshot taken with it.
    std::optional<std::pair<consensus::log_index, consensus::term_number>> pending_write_;
    std::optional<consensus::snapshot> pending_snapshot_;
    /// What forms a new directory, to be written with the first work.
    std::optional<consensus::group_write> bootstrap_write_;
};

}  // namespace tallyfold::directory
