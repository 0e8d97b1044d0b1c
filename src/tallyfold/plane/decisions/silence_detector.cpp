#include "tallyfold/plane/decisions/silence_detector.hpp"

#include <algorithm>

namespace tallyfold::forwarding {

namespace {

/// Lower bound of the limit: longer than a scheduling pause of a process.
constexpr duration min_limit = std::chrono::milliseconds(700);
/// Ratio of the limit to the mean time to the first byte. Long prompts and queueing at the engine
/// take a few times the mean.
constexpr int limit_factor = 5;
/// Approximate number of answers that the moving average covers.
constexpr int averaging_window = 16;

}  // namespace

void silence_detector::call_started(const backend_name& name, instant at) {
    waiting_since_[name].insert(at);
}

void silence_detector::first_byte_received(const backend_name& name, instant started, instant now) {
    const duration first_byte_time = now - started;
    mean_first_byte_time_ += (first_byte_time - mean_first_byte_time_) / averaging_window;
    call_ended(name, started);
}

void silence_detector::call_ended(const backend_name& name, instant started) {
    const auto calls = waiting_since_.find(name);
    if (calls == waiting_since_.end()) {
        return;
    }
    if (const auto call = calls->second.find(started); call != calls->second.end()) {
        calls->second.erase(call);
    }
    if (calls->second.empty()) {
        waiting_since_.erase(calls);
    }
}

duration silence_detector::limit() const {
    return std::max(min_limit, mean_first_byte_time_ * limit_factor);
}

std::vector<backend_name> silence_detector::overdue_backends(instant now) const {
    std::vector<backend_name> found;
    for (const auto& [name, since] : waiting_since_) {
        if (now - *since.begin() > limit()) {
            found.push_back(name);
        }
    }
    return found;
}

}  // namespace tallyfold::forwarding
