#pragma once
/// @file
/// Back ends that ended while they had a request of one content. Pure.
///
/// Only ends in series count: each request sent after the end before, and not long after it. When a
/// zone loses power, all back ends that have the same popular request end together, which says
/// nothing about the request; a request that ends each back end which runs it is sent again only
/// after the end before, and callers send again within seconds.

#include <cstddef>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::poison {

/// End of one incarnation of a back end under a request.
struct crash {
    backend_name backend;
    /// When the request was sent, and when its connection broke.
    instant sent{};
    instant ended{};

    bool operator==(const crash&) const = default;
};

class crash_history {
  public:
    /// Maximum number of crashes that are kept. Only the longest series matters, and a request is
    /// not sent again after a few.
    static constexpr std::size_t max_kept = 8;
    /// Maximum time from a crash to the next send in a series; longer than callers pause between
    /// their attempts, and programs until they send a turn again.
    static constexpr duration max_gap = std::chrono::seconds(20);

    /// Adds a crash. Reports of the same end by several nodes or for several requests count once.
    /// @return true when it was not known
    bool add(const crash& added);
    /// Number of crashes in the longest series.
    [[nodiscard]] std::size_t consecutive() const { return series().size(); }
    /// All crashes, by the time at which the back ends ended.
    [[nodiscard]] const std::vector<crash>& all() const { return crashes_; }
    /// Time of the last crash. Requires one.
    [[nodiscard]] instant last() const { return crashes_.back().ended; }

  private:
    /// The longest series, the latest one if several are as long.
    [[nodiscard]] std::vector<crash> series() const;

    std::vector<crash> crashes_;
};

}  // namespace tallyfold::poison
