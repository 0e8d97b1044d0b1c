#pragma once
/// @file
/// Leader's view of the replication to one peer: match index, next index, and entries in flight.
/// Plain bookkeeping; replica_fsm decides what to send.

#include <cstddef>
#include <cstdint>
#include <deque>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/consensus/messages.hpp"

namespace tallyfold::consensus {

class replica_progress {
  public:
    replica_progress() = default;
    replica_progress(log_index next_index, instant heard)
        : next_index_(next_index), last_contact_(heard) {}

    /// Index of the next entry to send.
    [[nodiscard]] log_index next_index() const { return next_index_; }
    /// Last index known to be durable at the peer.
    [[nodiscard]] log_index match_index() const { return match_index_; }
    [[nodiscard]] std::uint64_t acknowledged_round() const { return acknowledged_round_; }
    [[nodiscard]] instant last_contact() const { return last_contact_; }

    /// Records a reply of the peer that belongs to `round`.
    void record_reply(std::uint64_t round, instant now);
    /// Records that entries up to `last_index`, with `bytes` of payload, were sent.
    void record_sent(log_index last_index, std::size_t bytes);
    /// Records that the peer's log matches up to `index`.
    void record_match(log_index index);
    /// Sets the index at which the next message begins; entries in flight stay counted.
    void set_next_index(log_index index) { next_index_ = index; }
    /// True when a rejection of `round` refers to a message sent since the last resend. The last
    /// resend already covers earlier rounds; another one would only load the connection.
    [[nodiscard]] bool needs_resend(std::uint64_t round) const { return round >= resend_round_; }
    /// Restarts sending at `index`, in the new round `round`; nothing counts as in flight.
    void resend_from(log_index index, std::uint64_t round);
    /// True when an entry of `bytes` may be added to a message that already has `planned` bytes.
    [[nodiscard]] bool has_room(std::size_t bytes, std::size_t planned,
                                std::size_t max_in_flight_bytes) const;

  private:
    /// Unacknowledged entries of one message.
    struct in_flight_message {
        log_index last_index = 0;
        std::size_t bytes = 0;
    };

    log_index next_index_ = 1;
    log_index match_index_ = 0;
    std::uint64_t acknowledged_round_ = 0;
    std::uint64_t resend_round_ = 0;
    instant last_contact_{};
    std::deque<in_flight_message> in_flight_;
    std::size_t in_flight_bytes_ = 0;
};

}  // namespace tallyfold::consensus
