#pragma once
/// @file
/// How a forwarder that was asked to stop ends: it goes on taking requests until the platform has
/// seen that it isn't ready, then takes none any more, and goes once the last one has ended. Pure.

#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::forwarding {

/// What is still under way at a forwarder that stops.
struct work_left {
    /// Requests that are being read or served.
    std::size_t requests = 0;
    /// Ends of turns that the stores have not confirmed.
    std::size_t settlements = 0;

    [[nodiscard]] bool empty() const { return requests == 0 && settlements == 0; }
};

enum class stop_step : std::uint8_t {
    wait,
    /// Close the listener and every connection on which no request is under way.
    take_no_more,
    /// Everything has ended, or the time is over.
    finish,
};

class stop_sequence {
  public:
    /// What is still under way this long before the process is killed is cut off. Chosen, not
    /// measured: for the ends of turns to be written and the connections to be closed.
    static constexpr duration reserve_before_kill = std::chrono::milliseconds(600);
    /// The platform asks for readiness once a second and believes the second answer.
    /// So requests are taken for two such periods and a margin at least; longer helps only callers
    /// that the platform is slow to send elsewhere.
    static constexpr duration min_accept_time = std::chrono::milliseconds(2'200);
    static constexpr duration max_accept_time = std::chrono::milliseconds(3'000);

    /// @param grace time from the stop's request to the kill
    /// @param longest_request time that a request may take at most, by the configuration in force
    stop_sequence(instant requested_at, duration grace, duration longest_request);

    /// To be called every now and then; says each step but `wait` once.
    stop_step next(instant now, const work_left& left);
    /// False once no further request may be read.
    [[nodiscard]] bool accepts_requests() const { return accepting_; }

  private:
    instant accept_until_;
    instant cut_off_at_;
    bool accepting_ = true;
    bool finished_ = false;
};

}  // namespace tallyfold::forwarding
