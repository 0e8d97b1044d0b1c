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
constexpr double runaway_factor = 5;
/// Most calls of a program relative to the usual number that its objective is taken to mean.
constexpr double max_objective_ratio = 3;
/// Programs that paused for longer are not used as samples of the time between calls.
constexpr duration max_step = std::chrono::seconds(5);

void average(double& value, double sample) {
    value = value > 0 ? value + average_weight * (sample - value) : sample;
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
    if (known.tokens_per_call <= 0 || used_tokens == 0) {
        return 0;
    }
    // A short first answer does not make the second call a first one.
    const double position = static_cast<double>(used_tokens) / known.tokens_per_call;
    return static_cast<std::size_t>(std::clamp(position + 0.5, 1.0, max_position - 1.0));
}

double program_needs::usual_calls(const route_statistics& known) {
    return known.total / std::max(1.0, known.calls[0]);
}

double program_needs::calls_by_objective(const route_statistics& known, const program_call& call) {
    if (call.used_tokens > 0 || !call.time_left || known.objective_ms <= 0) {
        return 0;
    }
    const double ratio = exact_milliseconds(*call.time_left) / known.objective_ms;
    return usual_calls(known) * std::clamp(ratio, 0.0, max_objective_ratio);
}

void program_needs::record_program(route_statistics& known, const program_call& call, instant now) {
    if (call.program == 0) {
        return;
    }
    if (programs_.size() >= max_programs) {
        std::erase_if(programs_,
                      [&](const auto& entry) { return now - entry.second.started > max_step; });
    }
    const auto found = programs_.find(call.program);
    if (found != programs_.end()) {
        const duration step = call.arrived - found->second.started;
        if (step > duration::zero() && step <= max_step) {
            average(known.step_ms, exact_milliseconds(step));
        }
        found->second.started = now;
    } else if (programs_.size() < max_programs) {
        programs_.emplace(call.program, known_program{now, calls_by_objective(known, call)});
    }
}

void program_needs::record_call(const program_call& call, instant now) {
    route_statistics* known = find_or_add(call.route);
    if (known == nullptr) {
        return;
    }
    record_program(*known, call, now);
    if (call.used_tokens == 0 && call.time_left && *call.time_left > duration::zero()) {
        average(known->objective_ms, exact_milliseconds(*call.time_left));
    }
    known->calls[position_of(*known, call.used_tokens)] += 1;
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
    average(known->call_ms, exact_milliseconds(took));
}

double program_needs::later_calls(const route_statistics& known, const program_call& call) const {
    const std::size_t position = position_of(known, call.used_tokens);
    const auto remembered = programs_.find(call.program);
    const double all =
        remembered != programs_.end() ? remembered->second.calls : calls_by_objective(known, call);
    if (all > 0) {
        return std::max(0.0, all - 1 - static_cast<double>(position));
    }
    // Runaway programs, whose calls never end, are no measure for the others.
    const auto end =
        std::min(max_position, static_cast<std::size_t>(runaway_factor * usual_calls(known)) + 1);
    double later = 0;
    for (std::size_t next = position + 1; next < end; ++next) {
        later += known.calls[next];
    }
    // Each call at a later position belongs to a program that passed this one.
    return later / std::max(1.0, known.calls[position]);
}

double program_needs::expected_calls(const program_call& call) const {
    const route_statistics* known = find(call.route);
    return known == nullptr || known->total < min_calls ? 1 : 1 + later_calls(*known, call);
}

duration program_needs::expected_time(const program_call& call) const {
    const route_statistics* known = find(call.route);
    if (known == nullptr || known->total < min_calls) {
        return duration::zero();
    }
    const double step = std::max(known->step_ms, known->call_ms);
    return from_milliseconds(known->call_ms + later_calls(*known, call) * step);
}

bool program_needs::is_runaway(const std::string& route, token_count used_tokens) const {
    const route_statistics* known = find(route);
    if (known == nullptr || known->total < min_calls || known->tokens_per_call <= 0) {
        return false;
    }
    return static_cast<double>(used_tokens) / known->tokens_per_call >
           runaway_factor * usual_calls(*known);
}

}  // namespace tallyfold::dispatch
