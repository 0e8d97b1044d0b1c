#pragma once
/// @file
/// Graceful shutdown of a forwarder: it accepts requests until the platform has noticed that it is
/// not ready, then drains the pending ones and exits. No I/O.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

/// Pending work of a forwarder that is shutting down.
struct remaining_work {
    /// Number of requests that are being read or served.
    std::size_t requests = 0;
    /// Number of ends of turns that the stores have not confirmed.
    std::size_t settlements = 0;

    [[nodiscard]] bool empty() const { return requests == 0 && settlements == 0; }
};

enum class shutdown_step : std::uint8_t {
    wait,
    /// Close the listener and all connections without a pending request.
    stop_accepting,
    /// The time is over: end the requests that are pending.
    cut_off,
    /// No work is pending, or the process must exit before it is killed.
    finish,
};

class shutdown_sequence {
  public:
    /// Time before the kill at which pending work is cut off, so that ends of turns can be written
    /// and connections closed.
    static constexpr duration reserve_before_kill = std::chrono::milliseconds(600);
    /// Time before the kill at which the process exits even if some work is left.
    static constexpr duration reserve_for_exit = std::chrono::milliseconds(150);
    /// The platform probes readiness once per second and acts on the second failed probe, so
    /// requests are accepted for at least two periods and a margin. A longer time only helps
    /// callers that the platform redirects slowly.
    static constexpr duration min_accept_time = std::chrono::milliseconds(2'200);
    static constexpr duration max_accept_time = std::chrono::milliseconds(3'000);

    /// @param grace time from the stop request to the kill
    /// @param longest_request maximum duration of a request in the active configuration
    shutdown_sequence(instant requested_at, duration grace, duration longest_request);

    /// Adapts to a configuration that is applied during the shutdown.
    void set_longest_request(duration longest_request);
    /// To be called periodically; returns each step except `wait` once.
    shutdown_step next(instant now, const remaining_work& left);
    /// True when a request may be sent to a back end: it was read while requests were accepted, or
    /// ends before the cut-off in any case. One that was read later and is still running then would
    /// be cut off, although another node could have served it.
    /// @param read_at when the last byte of the request was read
    /// @param deadline of the request
    [[nodiscard]] bool may_send(instant read_at, instant deadline) const {
        return read_at < accept_until_ || deadline <= cut_off_at_;
    }
    /// False once no further request may be read.
    [[nodiscard]] bool accepts_requests() const { return accepting_; }

  private:
    instant requested_at_;
    duration grace_;
    instant accept_until_;
    instant cut_off_at_;
    instant finish_at_;
    bool accepting_ = true;
    bool cut_off_ = false;
    bool finished_ = false;
};

}  // namespace tallyfold::forwarding
