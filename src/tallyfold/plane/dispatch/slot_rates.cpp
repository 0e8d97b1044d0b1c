#include "tallyfold/plane/dispatch/slot_rates.hpp"

#include <algorithm>

namespace tallyfold::dispatch {

void slot_rates::forget(instant now) {
    while (!freed_.empty() && now - freed_.front() > span) {
        freed_.pop_front();
    }
    while (!granted_.empty() && now - granted_.front().at > span) {
        granted_.pop_front();
    }
}

double slot_rates::available_to(const call_priority& priority, instant now) const {
    const double seconds = std::chrono::duration<double>(span).count();
    const auto freed = static_cast<std::size_t>(
        std::count_if(freed_.begin(), freed_.end(), [&](instant at) { return now - at <= span; }));
    const double measured = freed < min_freed ? 0 : static_cast<double>(freed) / seconds;
    const double all = std::max(measured, capacity_);
    const auto taken =
        static_cast<double>(std::count_if(granted_.begin(), granted_.end(), [&](const grant& each) {
            return each.priority < priority && now - each.at <= span;
        }));
    return std::max(all - taken / seconds, all * min_share);
}

}  // namespace tallyfold::dispatch
