#pragma once
/// @file
/// Logic of one control node without I/O: replicas of all groups, their state machines, the nodes'
/// heartbeats, and the shard leases that group leaders grant. consensus/ provides agreement; the
/// shell makes batches durable and reports that with persisted(), which releases the messages that
/// depend on them. plane/directory is the forwarding plane's counterpart: one group, without
/// programs.
///
/// Implemented in control_core.cpp (inputs, time), replica_output.cpp (output of the replicas) and
/// members_and_leases.cpp (the leaders' periodic work).

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/program_api/configuration/configuration_state.hpp"
#include "tallyfold/program_api/control/lease_assigner.hpp"
#include "tallyfold/program_api/journal/journal_state_machine.hpp"
#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::control {

struct control_settings {
    node_name node;
    /// Number of journal groups. They are numbered from 1; group 0 is the configuration.
    std::uint32_t journal_groups = 2;
    std::uint32_t shard_count = 64;
    std::vector<node_name> peers;
    duration election_timeout = std::chrono::milliseconds(500);
    duration heartbeat_interval = std::chrono::milliseconds(100);
    /// A scheduler without a heartbeat for this long loses its shards.
    duration scheduler_timeout = std::chrono::milliseconds(1500);
    /// Number of entries applied since the last snapshot that triggers the next one.
    std::uint64_t snapshot_interval = 4096;
    std::uint64_t seed = 0;
};

/// A change of the configuration, requested through the administration API.
struct admin_change {
    configuration::change_command command;
};
/// Linearizable read of the configuration: answered after a quorum confirmed the leadership.
struct admin_read {};
using admin_request = std::variant<admin_change, admin_read>;

enum class admin_status : std::uint8_t { done, not_leader };

struct admin_reply {
    std::uint64_t token = 0;
    admin_status status = admin_status::not_leader;
    configuration::change_result change;
    /// For reads: the whole configuration.
    std::optional<configuration::configuration_view> view;
    node_name leader;
};

struct group_status {
    group_id group = 0;
    bool member = false;
    bool leads = false;
    node_name leader;
    consensus::term_number term = 0;
    consensus::log_index commit_index = 0;
    consensus::log_index applied_index = 0;
    consensus::log_index snapshot_index = 0;
    consensus::membership members;
};

struct node_status {
    protocol::node_heartbeat last;
    duration age{};
};

struct control_status {
    consensus::replica_id replica = consensus::no_replica;
    std::vector<group_status> groups;
    std::vector<node_status> nodes;
    std::map<shard_id, journal::shard_lease> leases;
    std::map<shard_id, std::size_t> program_counts;
};

/// Batch of writes for the storage thread; its messages are sent once it is durable.
struct storage_batch {
    std::uint64_t number = 0;
    std::vector<consensus::group_write> writes;
    std::vector<protocol::outbound_message> messages_after;
};

struct control_output {
    std::vector<protocol::outbound_message> messages;
    std::vector<admin_reply> admin_replies;
    std::optional<storage_batch> batch;
};

class control_core {
  public:
    control_core(control_settings settings, const consensus::recovered_node& recovered,
                 instant now);

    void receive(const node_name& from, const protocol::internal_message& message, instant now);
    void request(std::uint64_t token, const admin_request& request, instant now);
    void tick(instant now);
    /// Reports that the batch with this number is durable.
    void persisted(std::uint64_t batch_number);

    /// Initialises an empty cluster. @return false when this node already belongs to a cluster, or
    /// isn't in `members`
    bool initialise(const consensus::membership& members);

    control_output take_output();

    [[nodiscard]] control_status status(instant now) const;
    [[nodiscard]] consensus::replica_id identity() const { return identity_; }
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] const configuration::configuration_view& configuration() const {
        return configuration_.view();
    }
    [[nodiscard]] const consensus::replica_fsm& replica(group_id group) const {
        return groups_.at(group).replica;
    }
    [[nodiscard]] const journal::journal_state_machine& journal(group_id group) const {
        return groups_.at(group).journal;
    }

  private:
    struct pending_append {
        consensus::term_number term = 0;
        node_name client;
        protocol::correlation_id correlation = 0;
        std::uint64_t admin_token = 0;
    };
    struct pending_read {
        node_name node;
        std::uint64_t heartbeat_number = 0;
        configuration::configuration_version known = 0;
        std::uint64_t admin_token = 0;
    };
    struct group_runtime {
        consensus::replica_fsm replica;
        journal::journal_state_machine journal;
        consensus::log_index applied = 0;
        std::map<consensus::log_index, pending_append> appends;
        std::map<std::uint64_t, pending_read> reads;
        lease_assigner assigner;
    };
    struct batch_mark {
        group_id group = 0;
        consensus::log_index index = 0;
        consensus::term_number term = 0;
        std::optional<consensus::snapshot> own_snapshot;
    };

    void add_group(group_id group, const consensus::recovered_state& recovered, instant now);
    void on_heartbeat(const protocol::node_heartbeat& heartbeat, instant now);
    void on_append(const node_name& from, const protocol::journal_append& request);
    void on_shard_read(const node_name& from, const protocol::shard_read& request);
    void on_join(const protocol::join_request& request);
    void advance_members(group_runtime& runtime);
    void assign_leases(group_id group, group_runtime& runtime, instant now);
    void send_leases(const protocol::node_heartbeat& heartbeat, group_id group,
                     const group_runtime& runtime);
    void answer_read(group_id group, const pending_read& read);
    /// Adds one replica's writes to `batch`, and what their sync will confirm to `marks`.
    void collect_work(group_id group, group_runtime& runtime, storage_batch& batch,
                      std::vector<batch_mark>& marks);
    void apply_ready(group_id group, group_runtime& runtime, consensus::ready& work);
    void apply_entry(group_id group, group_runtime& runtime, const consensus::log_entry& entry);
    void finish_append(group_id group, const pending_append& append, bool committed,
                       journal::journal_error result, const configuration::change_result& change);
    void drop_appends_if_not_leading(group_id group, group_runtime& runtime);
    void snapshot_if_due(group_id group, group_runtime& runtime, consensus::group_write& write,
                         batch_mark& mark);
    void restore(group_id group, group_runtime& runtime, const consensus::snapshot& base);
    [[nodiscard]] std::string save(group_id group, const group_runtime& runtime) const;
    void refresh_live_schedulers(instant now);
    [[nodiscard]] node_name leader_node(const group_runtime& runtime) const;
    [[nodiscard]] node_name node_of(const consensus::replica_message& message) const;
    void send(const node_name& to, protocol::internal_message message);

    control_settings settings_;
    consensus::replica_id identity_;
    std::map<group_id, group_runtime> groups_;
    configuration::configuration_state_machine configuration_;

    struct heartbeat_record {
        protocol::node_heartbeat last;
        instant received_at{};
    };
    std::map<node_name, heartbeat_record> nodes_;
    /// Schedulers with a recent heartbeat as of the last check, and a hash of their addresses.
    std::map<node_name, live_scheduler> live_schedulers_;
    std::uint64_t directory_hash_ = 0;
    std::map<node_name, consensus::replica_id> joining_;
    std::map<consensus::replica_id, node_name> replica_nodes_;
    instant last_tick_{};
    instant next_leader_check_{};
    instant next_join_{};

    control_output output_;
    std::vector<consensus::group_write> initial_writes_;
    std::uint64_t next_batch_ = 1;
    std::map<std::uint64_t, std::vector<batch_mark>> batches_;
    std::uint64_t next_read_ = 1;
};

}  // namespace tallyfold::control
