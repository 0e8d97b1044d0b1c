#pragma once
/// @file
/// Appends a scheduler's commands to the journal groups, and asks again until it knows.
///
/// Commands are idempotent, so a resend after a lost answer is harmless. Commands of one root
/// program go one at a time: the owner's copy then applies them in the order of the log.

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
    /// Root program, or empty for a command of the shard itself.
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
    /// @param seed drawn anew at each start: a reply to an earlier life must not match a command
    /// of this one
    journal_client(std::vector<node_name> control_nodes, std::uint32_t journal_groups,
                   std::uint64_t seed)
        : control_nodes_(std::move(control_nodes)),
          journal_groups_(journal_groups),
          next_correlation_(random_source(seed).next()) {}

    void append(const append_key& key, journal::journal_command command, instant now);
    /// @return the command that the reply finishes, if it finishes one
    std::optional<finished_append> on_reply(const protocol::journal_append_reply& reply,
                                            instant now);
    /// Learns who leads a group.
    void set_leader(group_id group, const node_name& leader) { leaders_[group] = leader; }
    [[nodiscard]] node_name leader_of(group_id group) const;
    /// Forgets what was queued for a lease that is lost.
    void abandon(shard_id shard);
    void tick(instant now);
    std::vector<protocol::outbound_message> take_messages();
    [[nodiscard]] std::size_t pending() const { return sent_.size(); }
    /// True while a command of the shard is queued or out.
    [[nodiscard]] bool busy(shard_id shard) const;

  private:
    /// An append without an answer is sent again after this long. Chosen, not measured: above a
    /// commit that waits for one slow sync, below an election (0.5 s).
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
