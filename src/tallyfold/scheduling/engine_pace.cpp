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

/// Moves an estimate of the minimum towards a sample; 0 stands for no estimate.
void track_minimum(double& value, double sample) {
    if (value <= 0) {
        value = sample;
    } else {
        value +=
            (sample - value) * (sample < value ? weight_of_lower_sample : weight_of_higher_sample);
    }
}

/// Lower median. @param values not empty; reordered
double median(std::vector<double>& values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

}  // namespace

void engine_pace::record_prompt_processed(token_count tokens, duration took) {
    if (tokens >= min_prompt_tokens && took > duration::zero()) {
        track_minimum(read_ms_per_token_, exact_milliseconds(took) / static_cast<double>(tokens));
    }
}

void engine_pace::record_events(const backend_name& engine, std::size_t events, duration took,
                                instant now) {
    if (events == 0 || took < duration::zero()) {
        return;
    }
    const double gap = exact_milliseconds(took) / static_cast<double>(events);
    engine_state& state = engines_[engine];
    const bool known = state.latest != instant{} && now - state.latest < sample_lifetime;
    state.gap_ms = known ? state.gap_ms + engine_average_weight * (gap - state.gap_ms) : gap;
    state.latest = now;
    if (recent_gaps_.size() < max_recent_gaps) {
        recent_gaps_.push_back({engine, gap, now});
    } else {
        recent_gaps_[next_gap_] = {engine, gap, now};
        next_gap_ = (next_gap_ + 1) % max_recent_gaps;
    }
}

void engine_pace::record_stream_end(const backend_name& engine, duration mean_gap) {
    if (mean_gap <= duration::zero()) {
        return;
    }
    const double gap = exact_milliseconds(mean_gap);
    track_minimum(idle_gap_ms_, gap);
    track_minimum(engines_[engine].idle_gap_ms, gap);
    average_gap_ms_ = average_gap_ms_ > 0
                          ? average_gap_ms_ + overall_average_weight * (gap - average_gap_ms_)
                          : gap;
}

void engine_pace::record_call_end(duration took) {
    const double time = std::max(0.0, exact_milliseconds(took));
    call_ms_ = call_ms_ > 0 ? call_ms_ + overall_average_weight * (time - call_ms_) : time;
}

double engine_pace::gap_ms(const backend_name& engine, instant now) const {
    const auto known = engines_.find(engine);
    const bool fresh = known != engines_.end() && now - known->second.latest < sample_lifetime;
    return fresh ? known->second.gap_ms : average_gap_ms_;
}

double engine_pace::idle_gap_of(const backend_name& engine) const {
    const auto known = engines_.find(engine);
    const bool has_own = known != engines_.end() && known->second.idle_gap_ms > 0;
    return has_own ? known->second.idle_gap_ms : idle_gap_ms_;
}

double engine_pace::slowdown(instant now) const {
    std::map<backend_name, std::vector<double>> ratios_of_engines;
    std::size_t samples = 0;
    for (const recent_gap& gap : recent_gaps_) {
        const double idle = idle_gap_of(gap.engine);
        if (now - gap.at <= recent_span && idle > 0) {
            ratios_of_engines[gap.engine].push_back(gap.gap_ms / idle);
            ++samples;
        }
    }
    const std::size_t engines_needed = std::min(min_recent_engines, engines_.size());
    if (samples < min_recent_gaps || ratios_of_engines.size() < engines_needed) {
        return 1;
    }
    std::vector<double> ratios;
    ratios.reserve(ratios_of_engines.size());
    for (auto& [engine, own] : ratios_of_engines) {
        ratios.push_back(median(own));
    }
    return std::max(1.0, median(ratios));
}

}  // namespace tallyfold::scheduling
