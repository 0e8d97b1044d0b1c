#pragma once
/// @file
/// Where the calls of one service wait until the node may send a further one. Owns their order and
/// their timers; admission_window decides how many run, scheduling::call_queue who goes next. Used
/// by request_relay, adjusted by the forwarder. Belongs to the loop thread.

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>

#include "tallyfold/plane/decisions/admission_window.hpp"
#include "tallyfold/scheduling/call_queue.hpp"

namespace tallyfold::forwarding {

/// How a call ranks among those that wait.
struct waiting_rank {
    /// Of its tenant: 0 goes first, before the route's.
    std::int32_t tenant_priority = 0;
    /// Priority of its route: 0 goes first.
    std::int32_t priority = 0;
    /// From the policy; lower goes first within a priority.
    double rank = 0;
};

class admission_queue {
  public:
    /// @param max_slowdown times slower than idle that the engines may work; 0 lets every call in
    admission_queue(asio::io_context& loop, double max_slowdown)
        : loop_(loop), window_(max_slowdown), open_(max_slowdown <= 0) {}

    /// Waits for capacity, at most `longest`: then the call goes all the same, since the rest of
    /// its time is needed to answer it. leave() has to follow.
    /// @return the time waited
    asio::awaitable<duration> enter(waiting_rank rank, duration longest);
    /// True when a call would go at once.
    [[nodiscard]] bool admits_at_once() const {
        return open_ || (queue_.size() == 0 && window_.has_capacity());
    }
    /// A call that enter() let go has ended, or waits for a pause before it is sent again.
    void leave();
    /// Every back end has rejected a call for lack of capacity.
    void rejected();
    /// Follows the engines' pace; to be called each admission_window::interval.
    void adjust(double slowdown);

    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] const admission_window& window() const { return window_; }

  private:
    /// Lets waiting calls go while the window has capacity.
    void admit();

    asio::io_context& loop_;
    admission_window window_;
    bool open_;
    scheduling::call_queue queue_;
    /// One for each waiting call; cancelled when it may go, expired when it has waited for long.
    std::map<scheduling::ticket, std::shared_ptr<asio::steady_timer>> timers_;
    scheduling::ticket next_ticket_ = 1;
};

}  // namespace tallyfold::forwarding
