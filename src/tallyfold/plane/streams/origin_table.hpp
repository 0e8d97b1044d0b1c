#pragma once
/// @file
/// Origins of the streams that a store has been told of. In memory only: after a restart the other
/// stores of the group still know them, and callers of streams that none knows are refused. Pure.

#include <cstddef>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/streams/messages.hpp"

namespace tallyfold::streams {

class origin_table {
  public:
    /// Maximum number of streams, some hundred bytes each. Beyond it, the streams that expire first
    /// are forgotten.
    static constexpr std::size_t max_streams = 20'000;
    /// Longest time for which a record is kept, whatever lifetime it states.
    static constexpr duration max_lifetime = std::chrono::minutes(2);

    /// Adds a record. A stream with several origins keeps all of them, in whatever order the
    /// records arrive, and the longest lifetime.
    void record(const origin_record& record, instant now);
    /// Returns the origins of a stream; empty when none is known.
    [[nodiscard]] std::vector<stream_origin> find(const stream_id& stream, instant now) const;
    [[nodiscard]] std::size_t size() const { return streams_.size(); }

  private:
    struct entry {
        std::set<stream_origin> origins;
        instant expires_at{};
    };

    void remove_expired(instant now);
    void remove_first_to_expire();

    std::unordered_map<stream_id, entry> streams_;
    /// Streams by the time at which they expire.
    std::multimap<instant, stream_id> expiries_;
};

}  // namespace tallyfold::streams
