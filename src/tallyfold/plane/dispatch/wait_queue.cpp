#include "tallyfold/plane/dispatch/wait_queue.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace tallyfold::dispatch {

namespace {

/// Wait that a call of a new program may be expected to have in any case: as long as one call
/// takes, so that short waits refuse nobody.
constexpr duration min_tolerated_wait = std::chrono::milliseconds(200);

/// Longest expected wait with which a program is let in: each of its calls is likely to wait about
/// as long, and all waits have to fit into its slack.
duration tolerated_wait(const waiting_call& call, instant now) {
    const duration slack = call.latest_start - now;
    const auto for_each_call =
        std::chrono::duration_cast<duration>(slack / std::max(1.0, call.expected_calls));
    return std::max(min_tolerated_wait, for_each_call);
}

}  // namespace

void wait_queue::record_granted(const waiting_call& call, instant now) {
    rates_.record_granted(call.priority, now);
    shares_.record(call.tenant, call.tenant_weight, call.cost, now);
}

std::optional<queue_refusal> wait_queue::push(const waiting_call& call, instant now) {
    const duration expected = expected_wait(call, now);
    if (calls_.size() >= max_length) {
        return queue_refusal{place_reason::queue_full, expected};
    }
    // A program under way has used engines already; its calls wait, and run at their wait limit.
    if (settings_.refuses && !call.program_running) {
        if (expected > call.wait_limit - now) {
            return queue_refusal{place_reason::wait_too_long, expected};
        }
        if (expected > tolerated_wait(call, now)) {
            return queue_refusal{place_reason::new_program, expected};
        }
    }
    if (!calls_.try_emplace(call.key, call).second) {
        return std::nullopt;
    }
    priority_queue& level = priorities_[call.priority];
    tenant_queue& queue = level.tenants[call.tenant];
    if (call.runaway) {
        queue.runaway.insert({call.arrived, call.key});
    } else {
        ordered_calls& calls = call.program_running ? queue.in_time : queue.in_time_new;
        calls.insert({call.latest_start, call.key});
    }
    level.by_arrival.insert({call.arrived, call.key});
    by_arrival_.insert({call.arrived, call.key});
    by_limit_.insert({call.wait_limit, call.key});
    return std::nullopt;
}

void wait_queue::move_late(ordered_calls& from, tenant_queue& queue, instant now) {
    while (!from.empty() && from.begin()->first < now) {
        queue.late.insert(*from.begin());
        from.erase(from.begin());
    }
}

bool wait_queue::is_within_share(const std::string& tenant, instant now) const {
    return !settings_.shares || shares_.is_within(tenant, now);
}

std::vector<wait_queue::cursor> wait_queue::begin_of(priority_queue& level, instant now) const {
    std::vector<cursor> cursors;
    const auto add = [&](rank kind, const ordered_calls& calls) {
        if (!calls.empty()) {
            cursors.push_back({kind, calls.begin(), calls.end()});
        }
    };
    for (auto& [tenant, queue] : level.tenants) {
        move_late(queue.in_time, queue, now);
        move_late(queue.in_time_new, queue, now);
        const bool within = is_within_share(tenant, now);
        add(within ? rank::in_time : rank::in_time_beyond_share, queue.in_time);
        add(within ? rank::in_time_new : rank::in_time_new_beyond_share, queue.in_time_new);
        add(within ? rank::late : rank::late_beyond_share, queue.late);
        add(rank::runaway, queue.runaway);
    }
    return cursors;
}

const waiting_call* wait_queue::visit(instant now, std::size_t limit,
                                      const std::function<bool(const waiting_call&)>& stop) {
    std::size_t visited = 0;
    for (auto& [priority, level] : priorities_) {
        const waiting_call* found = visit_level(level, now, limit, visited, stop);
        if (found != nullptr || visited >= limit) {
            return found;
        }
    }
    return nullptr;
}

const waiting_call* wait_queue::visit_level(priority_queue& level, instant now, std::size_t limit,
                                            std::size_t& visited,
                                            const std::function<bool(const waiting_call&)>& stop) {
    if (level.taken % oldest_first_interval == oldest_first_interval - 1) {
        const waiting_call& oldest = calls_.at(level.by_arrival.begin()->second);
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
        const waiting_call& call = calls_.at(first.position->second);
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

bool wait_queue::remove(const call_key& key) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
        return false;
    }
    const waiting_call& call = found->second;
    const auto level = priorities_.find(call.priority);
    const auto queue = level->second.tenants.find(call.tenant);
    queue->second.in_time.erase({call.latest_start, key});
    queue->second.in_time_new.erase({call.latest_start, key});
    queue->second.late.erase({call.latest_start, key});
    queue->second.runaway.erase({call.arrived, key});
    if (queue->second.size() == 0) {
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
    const std::pair own{call.latest_start, call.key};
    const auto before = [&](const ordered_calls& calls) {
        return static_cast<std::size_t>(std::distance(calls.begin(), calls.lower_bound(own)));
    };
    const std::size_t in_time = queue.in_time.size() + queue.in_time_new.size();
    if (call.runaway) {
        return in_time + queue.late.size() +
               static_cast<std::size_t>(std::distance(
                   queue.runaway.begin(), queue.runaway.lower_bound({call.arrived, call.key})));
    }
    if (is_late) {
        return in_time + before(queue.late);
    }
    return call.program_running ? before(queue.in_time)
                                : queue.in_time.size() + before(queue.in_time_new);
}

std::size_t wait_queue::calls_ahead_of(const waiting_call& call, instant now) const {
    const bool is_late = call.latest_start < now;
    const bool within = is_within_share(call.tenant, now);
    std::size_t ahead = 0;
    for (const auto& [priority, level] : priorities_) {
        if (call.priority < priority) {
            break;
        }
        for (const auto& [tenant, queue] : level.tenants) {
            const std::size_t regular = queue.size() - queue.runaway.size();
            if (priority < call.priority) {
                ahead += regular + queue.runaway.size();
            } else if (call.runaway || is_within_share(tenant, now) == within) {
                ahead += calls_before(queue, call, is_late);
            } else if (!within) {
                ahead += regular;
            }
        }
    }
    return ahead;
}

duration wait_queue::expected_wait(const waiting_call& call, instant now) const {
    const double rate = rates_.available_to(call.priority, now);
    if (rate <= 0) {
        return duration::zero();
    }
    const auto ahead = static_cast<double>(calls_ahead_of(call, now) + 1);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(ahead / rate));
}

const waiting_call* wait_queue::find(const call_key& key) const {
    const auto found = calls_.find(key);
    return found == calls_.end() ? nullptr : &found->second;
}

duration wait_queue::longest_wait(instant now) const {
    return by_arrival_.empty() ? duration::zero() : now - by_arrival_.begin()->first;
}

}  // namespace tallyfold::dispatch
