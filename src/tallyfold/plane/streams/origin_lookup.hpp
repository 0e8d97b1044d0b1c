#pragma once
/// @file
/// Lookup of one stream's origin at the stores of its group: merges their answers and decides when
/// they suffice. Pure; origin_client sends the queries.

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "tallyfold/plane/streams/messages.hpp"

namespace tallyfold::streams {

enum class lookup_state : std::uint8_t {
    /// Too few stores have answered.
    undecided,
    found,
    /// No store has a record.
    unknown,
    /// Callers used the identifier for streams of different origins.
    ambiguous,
};

class origin_lookup {
  public:
    /// @param stores stores that may have a record
    explicit origin_lookup(std::set<turns::store_id> stores) : unanswered_(std::move(stores)) {}

    void on_answer(turns::store_id store, const std::vector<stream_origin>& origins);

    [[nodiscard]] lookup_state state() const;
    /// Requires state() to be `found`.
    [[nodiscard]] const stream_origin& origin() const { return *origins_.begin(); }
    [[nodiscard]] const std::set<turns::store_id>& unanswered() const { return unanswered_; }

  private:
    std::set<turns::store_id> unanswered_;
    std::set<stream_origin> origins_;
};

}  // namespace tallyfold::streams
