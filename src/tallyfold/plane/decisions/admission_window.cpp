#include "tallyfold/plane/decisions/admission_window.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// Lower bound of the window. A running call is needed to keep measuring the slowdown.
constexpr double min_window = 1;
/// Lower bound of the factor that one adjustment applies, which limits the effect of an outlier.
constexpr double min_shrink_factor = 0.8;
/// Factor that is applied to the number of running calls after every back end rejected a call.
constexpr double rejection_shrink_factor = 0.7;
/// Growth at an adjustment while calls wait and the slowdown is within the bound: a factor, and an
/// additive step that lets small windows grow as well. The window grows more slowly than it
/// shrinks.
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
        // The rejection has already set the window.
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
        // No call waits and the engines keep pace, so no limit is needed.
        bounded_ = false;
    }
}

}  // namespace tallyfold::forwarding
