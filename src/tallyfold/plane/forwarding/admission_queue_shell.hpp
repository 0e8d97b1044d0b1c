#pragma once
/// @file
/// Queue of one service's calls that wait for admission on this node. Owns the queue and the wait
/// timers; admission_window limits the running calls, scheduling::call_queue orders the waiting
/// ones. Used by send_loop, adjusted by the forwarder, on the loop thread only.

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "tallyfold/plane/decisions/admission_window.hpp"
#include "tallyfold/scheduling/call_queue.hpp"

namespace tallyfold::forwarding {

/// Sort key of a waiting call.
struct admission_priority {
    /// Priority of the tenant, compared first; 0 is the highest.
    std::int32_t tenant_priority = 0;
    /// Priority of the route; 0 is the highest.
    std::int32_t route_priority = 0;
    /// Rank from the policy; within one priority the lowest goes first.
    double policy_rank = 0;
};

class admission_queue {
  public:
    /// @param max_slowdown of the engines relative to idle; 0 disables the limit
    admission_queue(asio::io_context& loop, double max_slowdown)
        : loop_(loop), window_(max_slowdown), unbounded_(max_slowdown <= 0) {}

    /// Waits for capacity, at most `max_wait`. After that the call is admitted regardless, because
    /// the remaining time is needed to answer it. Each enter() must be paired with a leave().
    /// @return the time waited
    asio::awaitable<duration> enter(admission_priority priority, duration max_wait);
    /// True when a call would be admitted without waiting.
    [[nodiscard]] bool admits_immediately() const {
        return unbounded_ || (queue_.size() == 0 && window_.has_capacity());
    }
    /// Releases an admitted call's slot, when the call has ended or backs off before a retry.
    void leave();
    /// Reports that every back end rejected a call for lack of capacity.
    void rejected();
    /// Adjusts the window to the engines' slowdown; to be called every admission_window::interval.
    void adjust(double slowdown);

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] const admission_window& window() const { return window_; }

  private:
    /// Admits waiting calls while the window has capacity.
    void admit();

    asio::io_context& loop_;
    admission_window window_;
    bool unbounded_;
    scheduling::call_queue queue_;
    /// Timer of each waiting call: cancelled on admission, expires at the maximum wait.
    std::map<scheduling::ticket, std::shared_ptr<asio::steady_timer>> timers_;
    scheduling::ticket next_ticket_ = 1;
};

}  // namespace tallyfold::forwarding
