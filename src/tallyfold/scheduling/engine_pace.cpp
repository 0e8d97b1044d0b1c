#include "tallyfold/scheduling/engine_pace.hpp"

#include <algorithm>

namespace tallyfold::scheduling {

namespace {

/// Shortest prompt, in tokens, that is used as a sample; for shorter ones, network delay dominates.
constexpr token_count min_prompt_tokens = 1'000;
/// Weights, 0 to 1, of a sample below and of one above the estimate of an idle engine's time. That
/// time is close to the minimum, so the estimate falls quickly and rises slowly: a burst of slow
/// samples must not pass for idle.
constexpr double weight_of_lower_sample = 0.2;
constexpr double weight_of_higher_sample = 0.0005;
/// Weights, 0 to 1, of a new sample in the moving averages of one engine and of all engines.
constexpr double engine_average_weight = 0.2;
constexpr double overall_average_weight = 0.05;

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Moves an estimate of the minimum towards a sample; 0 stands for no estimate.
void track_minimum(double& value, double sample) {
    if (value <= 0) {
        value = sample;
    } else {
        value +=
            (sample - value) * (sample < value ? weight_of_lower_sample : weight_of_higher_sample);
    }
}

}  // namespace

void engine_pace::record_prompt_processed(token_count tokens, duration took) {
    if (tokens >= min_prompt_tokens && took > duration::zero()) {
        track_minimum(read_ms_per_token_, milliseconds(took) / static_cast<double>(tokens));
    }
}

void engine_pace::record_events(const backend_name& engine, std::size_t events, duration took,
                                instant now) {
    if (events == 0 || took < duration::zero()) {
        return;
    }
    const double gap = milliseconds(took) / static_cast<double>(events);
    engine_state& state = engines_[engine];
    const bool known = state.latest != instant{} && now - state.latest < sample_lifetime;
    state.gap_ms = known ? state.gap_ms + engine_average_weight * (gap - state.gap_ms) : gap;
    state.latest = now;
    if (recent_gaps_.size() < max_recent_gaps) {
        recent_gaps_.push_back({gap, now});
    } else {
        recent_gaps_[next_gap_] = {gap, now};
        next_gap_ = (next_gap_ + 1) % max_recent_gaps;
    }
}

void engine_pace::record_stream_end(duration mean_gap) {
    if (mean_gap <= duration::zero()) {
        return;
    }
    const double gap = milliseconds(mean_gap);
    track_minimum(idle_gap_ms_, gap);
    average_gap_ms_ = average_gap_ms_ > 0
                          ? average_gap_ms_ + overall_average_weight * (gap - average_gap_ms_)
                          : gap;
}

void engine_pace::record_call_end(duration took) {
    const double time = std::max(0.0, milliseconds(took));
    call_ms_ = call_ms_ > 0 ? call_ms_ + overall_average_weight * (time - call_ms_) : time;
}

double engine_pace::gap_ms(const backend_name& engine, instant now) const {
    const auto known = engines_.find(engine);
    const bool fresh = known != engines_.end() && now - known->second.latest < sample_lifetime;
    return fresh ? known->second.gap_ms : average_gap_ms_;
}

double engine_pace::slowdown(instant now) const {
    std::vector<double> gaps;
    for (const recent_gap& gap : recent_gaps_) {
        if (now - gap.at <= recent_span) {
            gaps.push_back(gap.gap_ms);
        }
    }
    if (gaps.size() < min_recent_gaps || idle_gap_ms_ <= 0) {
        return 1;
    }
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::nth_element(gaps.begin(), middle, gaps.end());
    return std::max(1.0, *middle / idle_gap_ms_);
}

}  // namespace tallyfold::scheduling
