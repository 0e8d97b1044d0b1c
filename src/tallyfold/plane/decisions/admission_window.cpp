#include "tallyfold/plane/decisions/admission_window.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// Calls that run however slow the engines are. One, so that the pace stays known.
constexpr double min_window = 1;
/// Part of the window that one adjustment leaves at least, 0 to 1. Chosen, not measured: it halves
/// in about 0.3 s, and one odd sample doesn't stop everything.
constexpr double min_shrink_factor = 0.8;
/// Part of the running calls that may run after every back end has rejected a call, 0 to 1. Chosen,
/// not measured by itself: the rule with it is (0.731 -> 0.776).
constexpr double rejection_shrink_factor = 0.7;
/// Growth of the window at an adjustment while calls wait and the engines keep the bound: times,
/// and calls on top, so that small windows grow too. Chosen, not measured: it doubles in 0.7 s at
/// the most, slower than it shrinks.
constexpr double growth_factor = 1.1;
constexpr double growth_step = 0.5;

}  // namespace

void admission_window::rejected() {
    if (shrunk_since_adjustment_) {
        return;
    }
    shrunk_since_adjustment_ = true;
    bounded_ = true;
    window_ = std::max(min_window, static_cast<double>(running_) * rejection_shrink_factor);
}

void admission_window::adjust(double slowdown, std::size_t waiting) {
    const auto running = static_cast<double>(running_);
    if (shrunk_since_adjustment_) {
        // The rejection has set the window already.
        shrunk_since_adjustment_ = false;
        return;
    }
    if (slowdown > max_slowdown_) {
        const double before = bounded_ ? std::min(window_, std::max(running, min_window)) : running;
        window_ =
            std::max(min_window, before * std::max(min_shrink_factor, max_slowdown_ / slowdown));
        bounded_ = true;
    } else if (bounded_ && waiting > 0) {
        window_ = window_ * growth_factor + growth_step;
    } else if (bounded_) {
        // Nothing waits and the engines keep up: there is nothing to bound.
        bounded_ = false;
    }
}

}  // namespace tallyfold::forwarding
