#pragma once
/// @file
/// Appends a scheduler's commands to the journal groups and resends them until a result arrives.
///
/// Commands are idempotent, so a resend after a lost reply is safe. Commands of one root program
/// are sent one at a time, so that the owner's copy applies them in log order.

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/journal/types.hpp"
#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::scheduler {

struct append_key {
    shard_id shard = 0;
    lease_epoch epoch = 0;
    /// Root program; empty for commands on the shard itself.
    program_id root;
    auto operator<=>(const append_key&) const = default;
};

struct finished_append {
    append_key key;
    journal::journal_command command;
    journal::journal_error result = journal::journal_error::none;
};

class journal_client {
  public:
    /// @param seed random for each process start, so that a reply to a previous process does not
    /// match a command of this one
    journal_client(std::vector<node_name> control_nodes, std::uint32_t journal_groups,
                   std::uint64_t seed)
        : control_nodes_(std::move(control_nodes)),
          journal_groups_(journal_groups),
          next_correlation_(random_source(seed).next()) {}

    void append(const append_key& key, journal::journal_command command, instant now);
    /// @return the command that the reply completes, if any
    std::optional<finished_append> on_reply(const protocol::journal_append_reply& reply,
                                            instant now);
    void set_leader(group_id group, const node_name& leader) { leaders_[group] = leader; }
    [[nodiscard]] node_name leader_of(group_id group) const;
    /// Discards all commands of a shard whose lease was lost.
    void discard_shard(shard_id shard);
    void tick(instant now);
    std::vector<protocol::outbound_message> take_messages();
    [[nodiscard]] std::size_t pending() const { return sent_.size(); }
    /// True if a command of the shard is queued or awaits its result.
    [[nodiscard]] bool has_commands(shard_id shard) const;

  private:
    /// Time after which an append without a reply is resent: longer than a commit with one slow
    /// disk sync, shorter than a leader election.
    static constexpr duration resend_timeout = std::chrono::milliseconds(400);

    struct sent_append {
        append_key key;
        group_id group = 0;
        journal::journal_command command;
        std::string encoded;
        instant sent{};
        std::size_t tries = 0;
    };
    void send_first(const append_key& key, instant now);
    void transmit(protocol::correlation_id correlation, sent_append& append, instant now);

    std::vector<node_name> control_nodes_;
    std::uint32_t journal_groups_;
    std::map<group_id, node_name> leaders_;
    std::map<append_key, std::deque<journal::journal_command>> queues_;
    std::map<protocol::correlation_id, sent_append> sent_;
    protocol::correlation_id next_correlation_;
    std::vector<protocol::outbound_message> messages_;
};

}  // namespace tallyfold::scheduler
