#pragma once
/// @file
/// Limits how many calls of one node run concurrently at the back ends of one service. No I/O;
/// admission_queue owns one window for each service and holds the calls beyond it.
///
/// The window prevents two kinds of overload: an engine that shares its steps among too many
/// streams delays all of them, and full back ends reject calls that are then retried. Nodes do not
/// coordinate: all observe the same slowdown, and each reduces its own calls in proportion.
///
/// - The slowdown, from engine_pace once per `interval`, shrinks the window while it is above
///   `max_slowdown`.
/// - rejected(), from send_loop for a call that every back end rejected, shrinks the window to a
///   fraction of the running calls.
/// - Otherwise the window grows while calls wait in admission_queue, and is removed when none
///   waits.

#include <cstddef>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

class admission_window {
  public:
    /// Interval between two calls of adjust(): a few events of each running stream.
    static constexpr duration interval = std::chrono::milliseconds(100);

    /// @param max_slowdown upper bound of the ratio of the event interval to that of an idle engine
    explicit admission_window(double max_slowdown) : max_slowdown_(max_slowdown) {}

    /// True when another call may run.
    [[nodiscard]] bool has_capacity() const {
        return !bounded_ || static_cast<double>(running_) < window_;
    }
    void started() { ++running_; }
    void finished() { running_ -= running_ > 0 ? 1 : 0; }
    /// Shrinks the window after every back end of the service rejected a call for lack of capacity.
    /// Only the first rejection between two adjustments counts, since concurrent calls are rejected
    /// together.
    void rejected();
    /// @param slowdown ratio of the current event interval to that of an idle engine; 1 if unknown
    /// @param waiting number of calls in the admission queue
    void adjust(double slowdown, std::size_t waiting);

    [[nodiscard]] std::size_t running() const { return running_; }
    /// Maximum number of running calls; 0 while there is no limit.
    [[nodiscard]] double size() const { return bounded_ ? window_ : 0; }

  private:
    double max_slowdown_;
    std::size_t running_ = 0;
    bool bounded_ = false;
    bool shrunk_since_adjustment_ = false;
    /// Maximum number of running calls; valid while bounded_.
    double window_ = 0;
};

}  // namespace tallyfold::forwarding
