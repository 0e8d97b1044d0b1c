#include "tallyfold/plane/dispatch/wait_queue.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace tallyfold::dispatch {

namespace {

/// Factor on the expected wait of all calls of a new program: later calls wait longer than the
/// first one while load rises, and some wait far longer than the mean. Larger factors refuse
/// more programs of urgent routes.
constexpr double program_wait_factor = 3;
/// Weight of a granted call in the averages that correct expected waits.
constexpr double correction_weight = 0.02;
/// Upper bound of the correction, against averages of few calls.
constexpr double max_correction = 4;

duration scaled(duration value, double factor) {
    return std::chrono::duration_cast<duration>(value * factor);
}

}  // namespace

void wait_queue::record_granted(const waiting_call& call, instant now) {
    rates_.record_granted(call.priority, now);
    // A slot that is granted while no call waits takes nothing from other tenants.
    if (!calls_.empty()) {
        shares_.record(call.tenant, call.tenant_weight, call.cost, now);
    }
    const auto queued = calls_.find(call.key);
    if (queued != calls_.end() && queued->second.estimate > duration::zero()) {
        const double waited = exact_milliseconds(now - call.arrived);
        waited_ms_ += correction_weight * (waited - waited_ms_);
        estimated_ms_ +=
            correction_weight * (exact_milliseconds(queued->second.estimate) - estimated_ms_);
    }
}

std::optional<queue_refusal> wait_queue::push(const waiting_call& call, instant now) {
    const duration uncorrected = estimate(call, now);
    const duration expected = scaled(uncorrected, wait_correction());
    if (calls_.size() >= max_length) {
        return queue_refusal{place_reason::queue_full, expected};
    }
    // Without an estimate nothing is refused, not even a late program. A program under way is not
    // refused on an estimate: its earlier calls would be wasted.
    if (settings_.refuses && !call.program_running && expected > duration::zero()) {
        if (expected > call.wait_limit - now) {
            return queue_refusal{place_reason::wait_too_long, expected};
        }
        const double calls = std::max(1.0, call.calls_left);
        if (scaled(expected, program_wait_factor * calls) > call.latest_start - now) {
            return queue_refusal{place_reason::new_program, expected};
        }
    }
    if (!calls_.try_emplace(call.key, queued_call{call, uncorrected}).second) {
        return std::nullopt;
    }
    priority_queue& level = priorities_[call.priority];
    tenant_queue& queue = level.tenants[call.tenant];
    if (call.runaway) {
        queue.runaway.insert({call.arrived, call.key});
    } else {
        queue.in_time.insert({call.latest_start, call.key});
    }
    level.by_arrival.insert({call.arrived, call.key});
    by_arrival_.insert({call.arrived, call.key});
    by_limit_.insert({call.wait_limit, call.key});
    return std::nullopt;
}

void wait_queue::move_late(tenant_queue& queue, instant now) const {
    while (!queue.in_time.empty() && queue.in_time.begin()->first < now) {
        const call_key& key = queue.in_time.begin()->second;
        queue.late.insert({calls_.at(key).call.arrived, key});
        queue.in_time.erase(queue.in_time.begin());
    }
}

share_level wait_queue::level_of(const std::string& tenant, instant now) const {
    return settings_.shares ? shares_.level_of(tenant, now) : share_level::within;
}

std::vector<wait_queue::cursor> wait_queue::begin_of(priority_queue& level, instant now) const {
    std::vector<cursor> cursors;
    const auto add = [&](const rank& kind, const ordered_calls& calls) {
        if (!calls.empty()) {
            cursors.push_back({kind, calls.begin(), calls.end()});
        }
    };
    for (auto& [tenant, queue] : level.tenants) {
        move_late(queue, now);
        const share_level share = level_of(tenant, now);
        add({false, share, false}, queue.in_time);
        add({false, share, true}, queue.late);
        add({true, share, false}, queue.runaway);
    }
    return cursors;
}

const waiting_call* wait_queue::visit(instant now, std::size_t limit,
                                      const std::function<bool(const waiting_call&)>& stop) {
    std::size_t visited = 0;
    for (auto& [priority, level] : priorities_) {
        const waiting_call* found = visit_priority(level, now, limit, visited, stop);
        if (found != nullptr || visited >= limit) {
            return found;
        }
    }
    return nullptr;
}

const waiting_call* wait_queue::visit_priority(
    priority_queue& level, instant now, std::size_t limit, std::size_t& visited,
    const std::function<bool(const waiting_call&)>& stop) {
    if (level.taken % oldest_first_interval == oldest_first_interval - 1) {
        const waiting_call& oldest = calls_.at(level.by_arrival.begin()->second).call;
        if (stop(oldest)) {
            return &oldest;
        }
    }
    std::vector<cursor> cursors = begin_of(level, now);
    const auto later = std::greater<>{};
    std::make_heap(cursors.begin(), cursors.end(), later);
    while (visited < limit && !cursors.empty()) {
        ++visited;
        std::pop_heap(cursors.begin(), cursors.end(), later);
        cursor& first = cursors.back();
        const waiting_call& call = calls_.at(first.position->second).call;
        if (stop(call)) {
            return &call;
        }
        ++first.position;
        if (first.position == first.end) {
            cursors.pop_back();
        } else {
            std::push_heap(cursors.begin(), cursors.end(), later);
        }
    }
    return nullptr;
}

const waiting_call* wait_queue::next(instant now, const std::vector<call_key>& passed_over) {
    return visit(now, max_length, [&](const waiting_call& call) {
        return std::find(passed_over.begin(), passed_over.end(), call.key) == passed_over.end();
    });
}

bool wait_queue::remove(const call_key& key) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
        return false;
    }
    const waiting_call& call = found->second.call;
    const auto level = priorities_.find(call.priority);
    const auto queue = level->second.tenants.find(call.tenant);
    queue->second.in_time.erase({call.latest_start, key});
    queue->second.late.erase({call.arrived, key});
    queue->second.runaway.erase({call.arrived, key});
    if (queue->second.empty()) {
        level->second.tenants.erase(queue);
    }
    level->second.by_arrival.erase({call.arrived, key});
    ++level->second.taken;
    if (level->second.tenants.empty()) {
        priorities_.erase(level);
    }
    by_arrival_.erase({call.arrived, key});
    by_limit_.erase({call.wait_limit, key});
    calls_.erase(found);
    return true;
}

std::vector<call_key> wait_queue::overdue(instant now) const {
    std::vector<call_key> keys;
    for (const auto& [limit, key] : by_limit_) {
        if (limit > now) {
            break;
        }
        keys.push_back(key);
    }
    return keys;
}

std::size_t wait_queue::calls_before(const tenant_queue& queue, const waiting_call& call,
                                     bool is_late) {
    const auto before = [&](const ordered_calls& calls, instant own) {
        return static_cast<std::size_t>(
            std::distance(calls.begin(), calls.lower_bound({own, call.key})));
    };
    if (call.runaway) {
        return queue.in_time.size() + queue.late.size() + before(queue.runaway, call.arrived);
    }
    return is_late ? queue.in_time.size() + before(queue.late, call.arrived)
                   : before(queue.in_time, call.latest_start);
}

std::size_t wait_queue::calls_ahead_of(const waiting_call& call, instant now) const {
    const bool is_late = call.latest_start < now;
    const share_level own = level_of(call.tenant, now);
    std::size_t ahead = 0;
    for (const auto& [priority, level] : priorities_) {
        if (call.priority < priority) {
            break;
        }
        for (const auto& [tenant, queue] : level.tenants) {
            const std::size_t regular = queue.in_time.size() + queue.late.size();
            if (priority < call.priority) {
                ahead += regular + queue.runaway.size();
            } else if (const share_level share = level_of(tenant, now);
                       call.runaway || share == own) {
                ahead += calls_before(queue, call, is_late);
            } else if (share < own) {
                ahead += regular;
            }
        }
    }
    return ahead;
}

duration wait_queue::estimate(const waiting_call& call, instant now) const {
    const double rate = rates_.available_to(call.priority, now);
    if (rate <= 0) {
        return duration::zero();
    }
    const auto ahead = static_cast<double>(calls_ahead_of(call, now) + 1);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(ahead / rate));
}

double wait_queue::wait_correction() const {
    return estimated_ms_ > 0 ? std::clamp(waited_ms_ / estimated_ms_, 1.0, max_correction) : 1;
}

duration wait_queue::expected_wait(const waiting_call& call, instant now) const {
    return scaled(estimate(call, now), wait_correction());
}

duration wait_queue::expected_at_arrival(const call_key& key) const {
    const auto found = calls_.find(key);
    return found == calls_.end() ? duration::zero()
                                 : scaled(found->second.estimate, wait_correction());
}

const waiting_call* wait_queue::find(const call_key& key) const {
    const auto found = calls_.find(key);
    return found == calls_.end() ? nullptr : &found->second.call;
}

duration wait_queue::longest_wait(instant now) const {
    return by_arrival_.empty() ? duration::zero() : now - by_arrival_.begin()->first;
}

}  // namespace tallyfold::dispatch
