/// @file
/// Published state of the emulated engine: delayed load reports, delayed and lossy cache events,
/// and stream reports.

#include <algorithm>

#include "stand_ins/engine_core.hpp"

namespace tallyfold::stand_ins {

namespace {

using scheduling::prefix_point;

constexpr std::size_t kept_events = 20'000;
constexpr std::size_t events_per_status = 2'000;

}  // namespace

void engine_core::publish(bool stored, const prefix_point& point, instant now) {
    const std::uint64_t number = next_event_++;
    if (random_.chance(settings_.event_loss)) {
        return;
    }
    events_.push_back({now + settings_.event_lag, {number, stored, point}});
    if (events_.size() > kept_events) {
        events_.pop_front();
    }
}

scheduling::load_report engine_core::current_load() const {
    scheduling::load_report load;
    load.running = static_cast<std::uint32_t>(running_.size());
    load.waiting = static_cast<std::uint32_t>(waiting_.size());
    load.cache_fill =
        static_cast<double>(cached_tokens_) / static_cast<double>(settings_.cache_tokens);
    return load;
}

scheduler::status_answered engine_core::status(std::uint64_t after_event, instant now) {
    scheduler::status_answered answer;
    answer.backend = settings_.name;
    answer.clock = now.time_since_epoch().count();
    for (const auto& [at, load] : loads_) {
        if (at + settings_.load_lag <= now) {
            answer.load = load;
        }
    }
    if (idle() && (loads_.empty() || loads_.back().first + settings_.load_lag <= now)) {
        answer.load = current_load();
    }
    answer.load.leaving = leaving_;
    // Event numbers start at one again after an engine restart.
    const std::uint64_t from = after_event >= next_event_ ? 0 : after_event;
    for (const dated_event& dated : events_) {
        if (dated.visible <= now && dated.event.number > from &&
            answer.events.size() < events_per_status) {
            answer.events.push_back(dated.event);
        }
    }
    return answer;
}

std::vector<scheduler::backend_report> engine_core::take_reports() {
    std::vector<scheduler::backend_report> taken;
    std::swap(taken, reports_);
    return taken;
}

}  // namespace tallyfold::stand_ins
