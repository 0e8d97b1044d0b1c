#pragma once
/// @file
/// What a leader knows of one other replica: how far its log matches, and what is under way to it.
/// Pure; replica_fsm decides what to send.

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

    /// The first entry that is to be sent next.
    [[nodiscard]] log_index next_index() const { return next_index_; }
    /// The last entry that is known to be durable there.
    [[nodiscard]] log_index match_index() const { return match_index_; }
    [[nodiscard]] std::uint64_t acknowledged_round() const { return acknowledged_round_; }
    [[nodiscard]] instant last_contact() const { return last_contact_; }

    /// It has answered in `round`.
    void record_reply(std::uint64_t round, instant now);
    /// Entries up to `last_index` went out, with so many bytes of payload.
    void record_sent(log_index last_index, std::size_t bytes);
    /// Its log matches up to `index`.
    void record_match(log_index index);
    /// The next message begins at `index`, with nothing taken to be under way.
    void set_next_index(log_index index) { next_index_ = index; }
    /// True when a rejection of `round` answers something sent after the last repeat. One of an
    /// earlier round was already answered by that repeat: another would only fill the connection.
    [[nodiscard]] bool needs_resend(std::uint64_t round) const { return round >= resend_round_; }
    /// Everything from `index` on is sent again, in a round of its own.
    void resend_from(log_index index, std::uint64_t round);
    /// True when a further entry of `bytes` may go out beside `planned` bytes of the same message.
    [[nodiscard]] bool has_room(std::size_t bytes, std::size_t planned,
                                std::size_t max_in_flight_bytes) const;

  private:
    /// Entries of one message that it has not answered for.
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
