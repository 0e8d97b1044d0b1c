#include "tallyfold/plane/decisions/admission_window.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// However slow the engines, this many calls run.
constexpr double min_window = 1;
/// Part that stays of the window at an adjustment, at least.
constexpr double min_part = 0.8;
/// Part of what runs that stays when every back end is full.
constexpr double part_when_turned_away = 0.7;
/// Growth at an adjustment while calls wait and the engines keep the bound.
constexpr double growth = 1.1;
constexpr double growth_step = 0.5;

}  // namespace

void admission_window::turned_away() {
    if (shrunk_) {
        return;
    }
    shrunk_ = true;
    bounded_ = true;
    window_ = std::max(min_window, static_cast<double>(running_) * part_when_turned_away);
}

void admission_window::adjust(double slowdown, std::size_t waiting) {
    const auto running = static_cast<double>(running_);
    if (shrunk_) {
        shrunk_ = false;
        return;
    }
    if (slowdown > max_slowdown_) {
        const double before = bounded_ ? std::min(window_, std::max(running, min_window)) : running;
        window_ = std::max(min_window, before * std::max(min_part, max_slowdown_ / slowdown));
        bounded_ = true;
    } else if (bounded_ && waiting > 0) {
        window_ = window_ * growth + growth_step;
    } else if (bounded_) {
        // Nothing waits and the engines keep up: there is nothing to bound.
        bounded_ = false;
    }
}

}  // namespace tallyfold::forwarding
