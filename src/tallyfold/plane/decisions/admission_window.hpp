#pragma once
/// @file
/// How many calls of a node may run at the engines of one service at once. Pure.
///
/// Engines share their steps among all that runs, so that under too much work everybody is late
/// together; and back ends that are full turn calls away, which then knock in vain. The window
/// shrinks while events come slower than a bound allows, or when calls are turned away, and grows
/// back while that doesn't happen; calls beyond it wait at the node, in order. Nodes need no word
/// of each other: all of them see the same engines slow down, and each gives way in proportion to
/// what it runs there.

#include <cstddef>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

class admission_window {
  public:
    /// How often adjust() is to be called.
    static constexpr duration interval = std::chrono::milliseconds(100);

    /// @param max_slowdown times slower than idle that events may come
    explicit admission_window(double max_slowdown) : max_slowdown_(max_slowdown) {}

    /// True when a further call may run.
    [[nodiscard]] bool has_room() const {
        return !bounded_ || static_cast<double>(running_) < window_;
    }
    void started() { ++running_; }
    void finished() { running_ -= running_ > 0 ? 1 : 0; }
    /// Every back end of the service has turned a call away. Counts once between two adjustments,
    /// since those that run together are turned away together.
    void turned_away();
    /// Follows how much slower than idle the engines work now.
    void adjust(double slowdown, std::size_t waiting);

    [[nodiscard]] std::size_t running() const { return running_; }
    /// Calls that may run; 0 while there is no bound.
    [[nodiscard]] double size() const { return bounded_ ? window_ : 0; }

  private:
    double max_slowdown_;
    std::size_t running_ = 0;
    bool bounded_ = false;
    bool shrunk_ = false;
    double window_ = 0;
};

}  // namespace tallyfold::forwarding
