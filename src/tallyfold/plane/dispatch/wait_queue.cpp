#include "tallyfold/plane/dispatch/wait_queue.hpp"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace tallyfold::dispatch {

namespace {

/// Share of the longest wait that a call of a new program may be expected to wait although the
/// program will be late. A program that begins later than that keeps its caller waiting for an
/// answer that a return at a better time gives sooner.
constexpr double new_program_wait_share = 0.5;

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
    if (settings_.refuses) {
        const duration longest = call.wait_limit - now;
        if (expected > longest) {
            return queue_refusal{place_reason::wait_too_long, expected};
        }
        const auto tolerated =
            std::max(call.latest_start - now,
                     std::chrono::duration_cast<duration>(longest * new_program_wait_share));
        if (!call.program_running && expected > tolerated) {
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
        queue.in_time.insert({call.latest_start, call.key});
    }
    level.by_arrival.insert({call.arrived, call.key});
    by_arrival_.insert({call.arrived, call.key});
    by_limit_.insert({call.wait_limit, call.key});
    return std::nullopt;
}

void wait_queue::move_late(tenant_queue& queue, instant now) {
    while (!queue.in_time.empty() && queue.in_time.begin()->first < now) {
        queue.late.insert(*queue.in_time.begin());
        queue.in_time.erase(queue.in_time.begin());
    }
}

std::optional<std::tuple<wait_queue::rank, instant, call_key>> wait_queue::best_of(
    const tenant_queue& queue, bool within_share, const std::set<call_key>& passed) {
    std::optional<std::tuple<rank, instant, call_key>> best;
    const auto take_first = [&](rank kind, const ordered_calls& calls) {
        const auto first = first_of(calls, passed);
        if (!best && first != calls.end()) {
            best = std::tuple(kind, first->first, first->second);
        }
    };
    take_first(within_share ? rank::in_time : rank::in_time_beyond_share, queue.in_time);
    take_first(within_share ? rank::late : rank::late_beyond_share, queue.late);
    take_first(rank::runaway, queue.runaway);
    return best;
}

wait_queue::ordered_calls::const_iterator wait_queue::first_of(const ordered_calls& calls,
                                                               const std::set<call_key>& passed) {
    return std::find_if(calls.begin(), calls.end(),
                        [&](const auto& entry) { return !passed.contains(entry.second); });
}

bool wait_queue::is_within_share(const std::string& tenant, instant now) const {
    return !settings_.shares || shares_.is_within(tenant, now);
}

const waiting_call* wait_queue::next(instant now, const std::set<call_key>& passed) {
    for (auto& [priority, level] : priorities_) {
        const auto oldest = first_of(level.by_arrival, passed);
        if (oldest == level.by_arrival.end()) {
            continue;
        }
        if (level.taken % oldest_first_interval == oldest_first_interval - 1) {
            return &calls_.at(oldest->second);
        }
        std::optional<std::tuple<rank, instant, call_key>> best;
        for (auto& [tenant, queue] : level.tenants) {
            move_late(queue, now);
            const auto candidate = best_of(queue, is_within_share(tenant, now), passed);
            if (candidate && (!best || *candidate < *best)) {
                best = candidate;
            }
        }
        return best ? &calls_.at(std::get<call_key>(*best)) : nullptr;
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
    queue->second.late.erase({call.latest_start, key});
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
    const std::pair own{call.latest_start, call.key};
    const auto before = [&](const ordered_calls& calls) {
        return static_cast<std::size_t>(std::distance(calls.begin(), calls.lower_bound(own)));
    };
    if (call.runaway) {
        return queue.in_time.size() + queue.late.size() +
               static_cast<std::size_t>(std::distance(
                   queue.runaway.begin(), queue.runaway.lower_bound({call.arrived, call.key})));
    }
    return is_late ? queue.in_time.size() + before(queue.late) : before(queue.in_time);
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
            const std::size_t regular = queue.in_time.size() + queue.late.size();
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
