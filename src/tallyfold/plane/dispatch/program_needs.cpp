#include "tallyfold/plane/dispatch/program_needs.hpp"

#include <algorithm>

namespace tallyfold::dispatch {

namespace {

/// Weight of a new sample in the moving averages.
constexpr double average_weight = 0.05;
/// Number of recorded calls of a route after which all counts are halved: some seconds of a busy
/// route.
constexpr double calls_until_halved = 4'096;
/// Number of calls of a route without which nothing is estimated.
constexpr double min_calls = 20;
/// A program with this many times the usual number of calls is a runaway; the longest regular ones
/// have two to three times as many.
constexpr double runaway_factor = 3;
/// Programs that paused for longer are not used as samples of the time between calls.
constexpr duration max_step = std::chrono::seconds(5);

void average(double& value, double sample) {
    value = value > 0 ? value + average_weight * (sample - value) : sample;
}

/// Moves an estimate towards the shorter samples, a quarter of which are below it.
void track_low(double& value, double sample) {
    const double weight = sample < value ? average_weight : average_weight / 3;
    value = value > 0 ? value + weight * (sample - value) : sample;
}

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

const program_needs::route_statistics* program_needs::find(const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? nullptr : &found->second;
}

program_needs::route_statistics* program_needs::find_or_add(const std::string& route) {
    const auto found = routes_.find(route);
    if (found != routes_.end()) {
        return &found->second;
    }
    return routes_.size() < max_routes ? &routes_[route] : nullptr;
}

std::size_t program_needs::position_of(const route_statistics& known, token_count used_tokens) {
    if (known.tokens_per_call <= 0) {
        return 0;
    }
    const double position = static_cast<double>(used_tokens) / known.tokens_per_call;
    return static_cast<std::size_t>(std::min(position + 0.5, max_position - 1.0));
}

double program_needs::runaway_calls(const route_statistics& known) {
    const double usual_calls = known.total / std::max(1.0, known.calls[0]);
    return runaway_factor * usual_calls;
}

void program_needs::record_step(route_statistics& known, program_hash program, instant now) {
    if (program == 0) {
        return;
    }
    if (last_calls_.size() >= max_programs) {
        std::erase_if(last_calls_,
                      [&](const auto& entry) { return now - entry.second > max_step; });
    }
    const auto found = last_calls_.find(program);
    if (found != last_calls_.end()) {
        const duration step = now - found->second;
        if (step > duration::zero() && step <= max_step) {
            track_low(known.step_ms, milliseconds(step));
        }
        found->second = now;
    } else if (last_calls_.size() < max_programs) {
        last_calls_.emplace(program, now);
    }
}

void program_needs::record_call(const std::string& route, program_hash program,
                                token_count used_tokens, instant now) {
    route_statistics* known = find_or_add(route);
    if (known == nullptr) {
        return;
    }
    record_step(*known, program, now);
    known->calls[position_of(*known, used_tokens)] += 1;
    known->total += 1;
    if (known->total >= calls_until_halved) {
        for (double& count : known->calls) {
            count /= 2;
        }
        known->total /= 2;
    }
}

void program_needs::record_answer(const std::string& route, token_count generated, duration took) {
    route_statistics* known = find_or_add(route);
    if (known == nullptr || generated == 0 || took <= duration::zero()) {
        return;
    }
    average(known->tokens_per_call, static_cast<double>(generated));
    average(known->call_ms, milliseconds(took));
}

double program_needs::later_calls(const route_statistics& known, token_count used_tokens) {
    const std::size_t position = position_of(known, used_tokens);
    // Runaway programs, whose calls never end, are no measure for the others.
    const auto end = std::min(max_position, static_cast<std::size_t>(runaway_calls(known)) + 1);
    double later = 0;
    for (std::size_t next = position + 1; next < end; ++next) {
        later += known.calls[next];
    }
    // Each call at a later position belongs to a program that passed this one.
    return later / std::max(1.0, known.calls[position]);
}

double program_needs::expected_calls(const std::string& route, token_count used_tokens) const {
    const route_statistics* known = find(route);
    const bool is_known = known != nullptr && known->total >= min_calls;
    return is_known ? 1 + later_calls(*known, used_tokens) : 1;
}

duration program_needs::expected_time(const std::string& route, token_count used_tokens) const {
    const route_statistics* known = find(route);
    if (known == nullptr || known->total < min_calls) {
        return duration::zero();
    }
    const double step = std::max(known->step_ms, known->call_ms);
    const double expected = known->call_ms + later_calls(*known, used_tokens) * step;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(expected));
}

bool program_needs::is_runaway(const std::string& route, token_count used_tokens) const {
    const route_statistics* known = find(route);
    if (known == nullptr || known->total < min_calls || known->tokens_per_call <= 0) {
        return false;
    }
    return static_cast<double>(used_tokens) / known->tokens_per_call > runaway_calls(*known);
}

}  // namespace tallyfold::dispatch
