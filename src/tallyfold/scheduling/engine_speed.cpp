#include "tallyfold/scheduling/engine_speed.hpp"

#include <algorithm>

namespace tallyfold::scheduling {

namespace {

/// Weights of a sample below and of one above an estimate of an idle time: close to the minimum, so
/// that a burst of slow samples doesn't pass for idle.
constexpr double weight_of_lower_sample = 0.2;
constexpr double weight_of_higher_sample = 0.002;
/// Higher samples count as this multiple of the estimate: slow periods are 2.5 times slower, and a
/// stalled connection gives samples that are thousands of times too high.
constexpr double max_sample_ratio = 10;
/// Weight of a sample in the present ratio of an engine: follows a slow period within some calls.
constexpr double ratio_weight = 0.4;
/// Weight of a sample in the effect of sharing, which all engines have in common.
constexpr double sharing_weight = 0.02;
/// Shortest prefill that is a sample; for shorter ones other delays dominate.
constexpr token_count min_prefilled_tokens = 500;
/// Prefill time of a token while none has been observed, in microseconds.
constexpr double default_prefill_us = 13;
/// Longest valid token time; longer ones are stalls of the connection or the caller.
constexpr duration max_token_time = std::chrono::seconds(2);
/// Longest valid time to the first event; no prefill takes a minute.
constexpr duration max_first_event = std::chrono::seconds(60);

double microseconds(duration value) {
    return std::chrono::duration<double, std::micro>(value).count();
}

duration from_microseconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>(value));
}

/// Moves an estimate of the minimum towards a sample; 0 stands for no estimate.
void track_minimum(double& value, double sample) {
    const double weight = sample < value ? weight_of_lower_sample : weight_of_higher_sample;
    const double bounded = std::min(sample, max_sample_ratio * value);
    value = value > 0 ? value + weight * (bounded - value) : sample;
}

}  // namespace

void engine_speed::record(const backend_name& engine, const speed_sample& sample, instant now) {
    const bool valid_first_event =
        sample.first_event > duration::zero() && sample.first_event <= max_first_event;
    if (sample.prefilled_tokens >= min_prefilled_tokens && valid_first_event) {
        track_minimum(prefill_us_, microseconds(sample.first_event) /
                                       static_cast<double>(sample.prefilled_tokens));
    }
    if (sample.token_time <= duration::zero() || sample.token_time > max_token_time) {
        return;
    }
    const double token_us = microseconds(sample.token_time);
    const std::uint32_t running = std::max(1U, sample.running);
    engine_state& state = engines_[engine];
    const bool fresh = state.latest != instant{} && now - state.latest <= slowdown_lifetime;
    idle_total_us_ -= state.idle_token_us;
    // A shorter time counts as it is: calls that share an engine are not faster than one alone. If
    // it were divided by the effect of sharing, which is derived from it, both would drift away.
    const bool is_known = state.idle_token_us > 0;
    const double alone_us = token_us / (is_known ? sharing_factor(running) : 1);
    track_minimum(state.idle_token_us, std::min(token_us, std::max(alone_us, state.idle_token_us)));
    idle_total_us_ += state.idle_token_us;
    const double shared = std::min(max_sample_ratio, token_us / state.idle_token_us);
    double& level = ratio_by_running_[std::min<std::size_t>(running, max_levels) - 1];
    level = level > 0 ? level + sharing_weight * (shared - level) : std::max(1.0, shared);
    const double ratio = shared / sharing_factor(running);
    state.ratio = fresh ? state.ratio + ratio_weight * (ratio - state.ratio) : ratio;
    state.latest = now;
}

void engine_speed::remove_engine(const backend_name& engine) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        idle_total_us_ -= found->second.idle_token_us;
        engines_.erase(found);
    }
}

const engine_speed::engine_state* engine_speed::find(const backend_name& engine) const {
    const auto found = engines_.find(engine);
    return found == engines_.end() ? nullptr : &found->second;
}

double engine_speed::idle_us(const engine_state* state) const {
    if (state != nullptr) {
        return state->idle_token_us;
    }
    return engines_.empty() ? 0 : idle_total_us_ / static_cast<double>(engines_.size());
}

double engine_speed::slowdown(const engine_state* state, instant now) {
    const bool fresh = state != nullptr && now - state->latest <= slowdown_lifetime;
    return fresh ? std::max(1.0, state->ratio) : 1;
}

double engine_speed::sharing_factor(std::uint32_t running) const {
    const std::size_t level = std::min<std::size_t>(std::max(1U, running), max_levels) - 1;
    const double alone = ratio_by_running_.front();
    const double shared = ratio_by_running_[level];
    return alone > 0 && shared > 0 ? std::max(1.0, shared / alone) : 1;
}

duration engine_speed::token_time(const backend_name& engine, std::uint32_t running,
                                  instant now) const {
    const engine_state* state = find(engine);
    return from_microseconds(idle_us(state) * sharing_factor(running) * slowdown(state, now));
}

duration engine_speed::idle_token_time(const backend_name& engine) const {
    return from_microseconds(idle_us(find(engine)));
}

double engine_speed::slowdown(const backend_name& engine, instant now) const {
    return slowdown(find(engine), now);
}

duration engine_speed::prefill_time_per_token() const {
    return from_microseconds(prefill_us_ > 0 ? prefill_us_ : default_prefill_us);
}

}  // namespace tallyfold::scheduling
