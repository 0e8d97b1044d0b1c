#pragma once
/// @file
/// Lookup of one stream's origin at the stores of its group: merges their answers and decides when
/// they suffice. Pure; origin_client sends the queries.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "tallyfold/plane/streams/messages.hpp"

namespace tallyfold::streams {

enum class lookup_state : std::uint8_t {
    /// A store that has not answered may have a record of another origin, or the only one.
    undecided,
    found,
    /// No store has a record.
    unknown,
    /// Streams of different origins have the identifier.
    ambiguous,
};

class origin_lookup {
  public:
    /// @param stores stores that may have a record
    /// @param copies number of these stores that a record is sent to, at least 1
    origin_lookup(std::set<turns::store_id> stores, std::size_t copies)
        : unanswered_(std::move(stores)),
          // So many that one of them answers, whichever stores a record went to.
          max_unanswered_(copies - 1) {}

    void on_answer(turns::store_id store, const std::vector<stream_origin>& origins);

    [[nodiscard]] lookup_state state() const;
    /// Requires state() to be `found`.
    [[nodiscard]] const stream_origin& origin() const { return *origins_.begin(); }
    [[nodiscard]] const std::set<turns::store_id>& unanswered() const { return unanswered_; }

  private:
    std::set<turns::store_id> unanswered_;
    std::size_t max_unanswered_;
    std::set<stream_origin> origins_;
};

}  // namespace tallyfold::streams
