#pragma once
/// @file
/// Reads at a replica that doesn't lead (Raft's read index, asked of the leader): one question is
/// under way at a time, for all reads that came before it was sent. A read is confirmed once the
/// log is committed here up to the position that the leader answered.

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/consensus/messages.hpp"

namespace tallyfold::consensus {

class follower_reads {
  public:
    /// @param first drawn anew in each life of the replica: an answer to a question of an earlier
    /// life, which may still be under way, must not pass for one to a question of this life
    explicit follower_reads(std::uint64_t first) : request_id_(first) {}

    /// A read under the caller's number.
    void add(std::uint64_t token, instant now);
    /// The question that is to be sent to the leader now: a new one when none is under way and
    /// reads wait, or the one under way again when it was sent `resend_interval` ago.
    std::optional<std::uint64_t> next_request_id(instant now, duration resend_interval);
    /// The leader's answer; one to another question is ignored.
    void on_reply(std::uint64_t request_id, log_index commit_index);
    /// Takes out the reads that the log, committed up to `commit_index`, confirms.
    std::vector<std::uint64_t> take_confirmed(log_index commit_index);
    /// Takes out the reads that have waited for longer than `limit`.
    std::vector<std::uint64_t> take_expired(instant now, duration limit);
    /// Takes out all: who answers for them isn't known any more.
    std::vector<std::uint64_t> take_all();

  private:
    struct read {
        std::uint64_t token = 0;
        instant since{};
    };

    std::vector<read> queued_;
    /// Those that the question under way is for.
    std::vector<read> in_flight_reads_;
    /// Those that wait for the log, by position.
    std::multimap<log_index, read> awaiting_commit_;
    std::uint64_t request_id_;
    instant sent_{};
};

}  // namespace tallyfold::consensus
