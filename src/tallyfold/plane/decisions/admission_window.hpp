#pragma once
/// @file
/// How many calls of one node may run at the back ends of one service at once. Pure;
/// admission_queue owns one for each service and holds what goes beyond it.
///
/// Engines share their steps among all that runs, so under too much work every call becomes late;
/// and back ends that are full reject calls, which come back and are rejected again. The window
/// shrinks while events come slower than a bound allows, or when every back end has rejected a
/// call, and grows back once that ends. Nodes exchange nothing for it: all of them see the same
/// engines slow down, and each reduces in proportion to what it runs there.
///
/// Inputs:
/// - slowdown, in times slower than idle, from engine_pace each `interval`: above `max_slowdown`
/// the
///   window shrinks;
/// - rejected(), a call that every back end rejected, from send_loop: the window shrinks to 0.7 of
///   what runs;
/// - waiting, calls in the queue, from admission_queue each `interval`: without the two above the
///   window grows; with 0 the bound ends.
///
/// Measured (docs/DECISIONS-UNDER-LOAD.md, parekh-auth, seeds 111 to 113): the slowdown raised the
/// worth of scale-1 and scale-2 from 0.686 to 0.739, the rejections from 0.731 to 0.776.

#include <cstddef>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

class admission_window {
  public:
    /// How often adjust() is to be called. Chosen, not measured: some events of each running
    /// stream, which come 25 ms apart on an idle engine.
    static constexpr duration interval = std::chrono::milliseconds(100);

    /// @param max_slowdown times slower than idle that events may come (setting, 1.7)
    explicit admission_window(double max_slowdown) : max_slowdown_(max_slowdown) {}

    /// True when a further call may run.
    [[nodiscard]] bool has_capacity() const {
        return !bounded_ || static_cast<double>(running_) < window_;
    }
    void started() { ++running_; }
    void finished() { running_ -= running_ > 0 ? 1 : 0; }
    /// Every back end of the service has rejected a call for lack of capacity. Counts once between
    /// two adjustments, since calls that run together are rejected together.
    void rejected();
    /// @param slowdown times slower than idle that the engines work now; 1 where it isn't known
    /// @param waiting calls that wait for the window
    void adjust(double slowdown, std::size_t waiting);

    [[nodiscard]] std::size_t running() const { return running_; }
    /// Calls that may run; 0 while there is no bound.
    [[nodiscard]] double size() const { return bounded_ ? window_ : 0; }

  private:
    double max_slowdown_;
    std::size_t running_ = 0;
    bool bounded_ = false;
    /// A rejection has shrunk the window since the last adjustment.
    bool shrunk_since_adjustment_ = false;
    /// Calls that may run while bounded_.
    double window_ = 0;
};

}  // namespace tallyfold::forwarding
