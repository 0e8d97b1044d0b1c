#pragma once
/// @file
/// Linearizable reads at a follower (Raft's read index). One read index request to the leader is in
/// flight at a time, for all reads queued before it was sent. A read is confirmed once this replica
/// has committed up to the index in the leader's reply.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/messages.hpp"

namespace tallyfold::consensus {

class follower_reads {
  public:
    /// @param first random start of the request identifiers, so that a delayed reply to a request
    /// from before a restart is not taken for a reply to a later request
    explicit follower_reads(std::uint64_t first) : request_id_(first) {}

    /// Queues a read. @param token identifies the read to the caller
    void add(std::uint64_t token, instant now);
    /// Identifier of the request to send to the leader now: a new one when reads are queued and
    /// none is in flight, or the one in flight when it was sent at least `resend_interval` ago.
    std::optional<std::uint64_t> next_request_id(instant now, duration resend_interval);
    /// Handles the leader's reply. A reply to another request than the latest is ignored.
    void on_reply(std::uint64_t request_id, log_index commit_index);
    /// Removes and returns the reads that are confirmed at `commit_index`.
    std::vector<std::uint64_t> take_confirmed(log_index commit_index);
    /// Removes and returns the reads that have waited for longer than `limit`.
    std::vector<std::uint64_t> take_expired(instant now, duration limit);
    /// Removes and returns all reads, for a change of leader or of role.
    std::vector<std::uint64_t> take_all();

  private:
    struct read {
        std::uint64_t token = 0;
        instant since{};
    };

    std::vector<read> queued_;
    /// Reads of the request in flight.
    std::vector<read> in_flight_reads_;
    /// Reads that wait for the commit index, by the index that they need.
    std::multimap<log_index, read> awaiting_commit_;
    std::uint64_t request_id_;
    instant sent_{};
};

}  // namespace tallyfold::consensus
