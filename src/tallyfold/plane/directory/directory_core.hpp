#pragma once
/// @file
/// One node of the directory: a replica of its log, the state that it makes, and the leader's
/// duties. Pure: messages and the time in, messages, writes and answers out.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/consensus/persistence.hpp"
#include "tallyfold/consensus/replica_fsm.hpp"
#include "tallyfold/plane/directory/configuration_source.hpp"
#include "tallyfold/plane/directory/directory_state.hpp"
#include "tallyfold/plane/directory/member_planner.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/directory/store_planner.hpp"

namespace tallyfold::directory {

/// Answers to operators are matched by this number.
using request_token = std::uint64_t;

struct directory_settings {
    /// "ip:port" where other nodes reach this one; its name in the membership.
    node_name address;
    /// Addresses at which the directory may be found at the start.
    std::vector<node_name> seeds;
    /// True on the very first start of the whole system.
    bool first_start = false;
    duration election_timeout = std::chrono::milliseconds(400);
    duration first_election_timeout = std::chrono::milliseconds(120);
    duration heartbeat_interval = std::chrono::milliseconds(80);
    /// A snapshot is taken after so many entries, or so many bytes of them.
    consensus::log_index snapshot_interval = 64;
    std::size_t snapshot_bytes = 1U << 20U;
    member_planner_settings members;
    store_planner_settings stores;
    std::uint64_t seed = 0;
};

/// The identity that a seed's replica has when the directory is first made.
consensus::replica_id first_identity(const node_name& address);

enum class answer_kind : std::uint8_t {
    /// The command is committed and applied, or the read is confirmed.
    done,
    /// This node doesn't lead; `leader` says who does, when known.
    not_leader,
    /// Leadership ended meanwhile: whether the command is taken isn't known.
    unknown,
};

struct directory_answer {
    request_token token = 0;
    answer_kind kind = answer_kind::unknown;
    node_name leader;
};

/// Whether this node's state was the newest when it was asked to prove that.
struct directory_proof {
    request_token token = 0;
    bool proved = false;
};

struct addressed_message {
    node_name to;
    std::variant<consensus::replica_message, join_request> body;
};

/// Work for the shell, in this order: send `before_sync`, make `write` durable and call
/// persisted(), send `after_sync`, hand out `answers` and `proofs`, log `events`.
struct directory_work {
    std::vector<addressed_message> before_sync;
    std::optional<consensus::group_write> write;
    std::vector<addressed_message> after_sync;
    std::vector<directory_answer> answers;
    std::vector<directory_proof> proofs;
    std::vector<logging::event_record> events;

    [[nodiscard]] bool empty() const {
        return before_sync.empty() && !write && after_sync.empty() && answers.empty() &&
               proofs.empty() && events.empty();
    }
};

class directory_core {
  public:
    directory_core(directory_settings settings, consensus::replica_id identity,
                   const consensus::recovered_state& recovered, instant now);

    void tick(instant now);
    /// @param from address that the message came from, for a replica no membership names yet
    void receive(const node_name& from, const consensus::replica_message& message, instant now);
    void receive(const join_request& request, instant now);
    /// @return what the reporting node lacks; it proves nothing
    directory_beat receive(const node_report& report, instant now);
    /// The part of a newer configuration that a node asks for.
    configuration_part receive(const configuration_request& request);
    /// What a reporting node lacks, as this node sees it now.
    [[nodiscard]] directory_beat answer_to(const node_report& report) const;

    /// Appends a command; its answer comes out of take_work().
    void submit(request_token token, const directory_command& command);
    /// Confirms that this leader's state is the newest; the answer comes out of take_work().
    void confirm(request_token token, instant now);
    /// The same at any node, the leader or not; the proof comes out of take_work(). Tokens of
    /// proofs and of answers are apart.
    void prove(request_token token, instant now);

    directory_work take_work();
    /// The last work's write is durable.
    void persisted();

    [[nodiscard]] const directory_state& state() const { return state_; }
    /// Takes over a committed state that this node had applied before its restart, so that other
    /// nodes learn it before a leader has confirmed the log. It is shown, never built upon.
    void show_earlier_state(directory_state earlier) { earlier_ = std::move(earlier); }
    [[nodiscard]] bool leads() const;
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
    struct pending_command {
        request_token token = 0;
        consensus::term_number term = 0;
    };

    void answer(request_token token, answer_kind kind);
    void end_read(std::uint64_t read, bool confirmed);
    void fail_pending();
    /// The newest configuration that this node knows to have been in force, now or before its
    /// restart.
    [[nodiscard]] const configuration_pointer& shown_configuration() const;
    void apply(const consensus::log_entry& entry);
    void note_leadership(instant now);
    void lead(instant now);
    /// Of the turns of all routes.
    [[nodiscard]] duration longest_retention() const;
    /// Logs what keeps this leader from its duties, every now and then.
    void note_hindrances(instant now);
    void join(instant now);
    void event(logging::event_id id, std::string fields);
    void note_changed_groups(turns::map_epoch since);
    [[nodiscard]] bool is_member() const;
    [[nodiscard]] addressed_message address(consensus::replica_message message) const;
    void take_snapshot(consensus::group_write& write);

    directory_settings settings_;
    consensus::replica_id identity_;
    consensus::replica_fsm replica_;
    directory_state state_;
    directory_state earlier_;
    configuration_source source_;
    consensus::log_index applied_ = 0;
    /// Payload applied since the last snapshot was taken here.
    std::size_t applied_bytes_ = 0;
    member_planner member_planner_;
    store_planner store_planner_;
    std::map<consensus::replica_id, node_name> addresses_;
    std::map<consensus::log_index, pending_command> commands_;
    std::map<std::uint64_t, request_token> reads_;
    std::map<std::uint64_t, request_token> proofs_;
    std::uint64_t next_read_ = 1;
    bool led_ = false;
    instant next_duty_{};
    instant next_join_{};
    instant leads_since_{};
    /// Since when changes of groups are open without a pause; nothing while none is.
    std::optional<instant> changing_since_;
    instant next_hindrance_{};
    instant leader_seen_{};
    directory_work work_;
    /// The last entry of the write under way, and the snapshot taken with it.
    std::optional<std::pair<consensus::log_index, consensus::term_number>> writing_;
    std::optional<consensus::snapshot> writing_snapshot_;
    std::optional<consensus::group_write> first_write_;
};

}  // namespace tallyfold::directory
