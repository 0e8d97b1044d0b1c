#include "tallyfold/scheduling/call_queue.hpp"

#include <algorithm>

namespace tallyfold::scheduling {

void call_queue::push(const queued_call& call) {
    calls_[call.id] = call;
    by_arrival_.insert({call.arrived, call.id});
    tenant_queue& queue = tiers_[call.priority][call.tenant];
    queue.by_rank.insert({call.rank, call.id});
    // A tenant gets no credit for time in which it had no waiting calls.
    double& time = virtual_times_[call.tenant];
    if (waiting_counts_[call.tenant]++ == 0) {
        time = std::max(time, queue_virtual_time_);
    }
}

std::vector<ticket> call_queue::next(std::size_t limit) const {
    std::vector<ticket> chosen;
    if (!calls_.empty() && taken_count_ % oldest_first_interval == oldest_first_interval - 1) {
        chosen.push_back(by_arrival_.begin()->second);
    }
    for (const auto& [priority, queues] : tiers_) {
        append_tier(queues, limit, chosen);
        if (chosen.size() >= limit) {
            break;
        }
    }
    return chosen;
}

void call_queue::append_tier(const tier& queues, std::size_t limit,
                             std::vector<ticket>& chosen) const {
    using position = std::set<std::pair<double, ticket>>::const_iterator;
    // One cursor per tenant, ordered by the virtual time at which its next call would be served.
    std::multimap<double, std::pair<position, const tenant_queue*>> cursors;
    for (const auto& [tenant, queue] : queues) {
        cursors.insert({virtual_times_.at(tenant), {queue.by_rank.begin(), &queue}});
    }
    while (!cursors.empty() && chosen.size() < limit) {
        const auto first = cursors.begin();
        const double time = first->first;
        auto [current, queue] = first->second;
        cursors.erase(first);
        const ticket id = current->second;
        const bool already_first = !chosen.empty() && chosen.front() == id;
        if (!already_first) {
            chosen.push_back(id);
        }
        if (++current != queue->by_rank.end()) {
            const queued_call& call = calls_.at(id);
            cursors.insert({time + call.cost / call.tenant_weight, {current, queue}});
        }
    }
}

void call_queue::take(ticket id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const queued_call& call = found->second;
    double& time = virtual_times_[call.tenant];
    queue_virtual_time_ = std::max(queue_virtual_time_, time);
    time += call.cost / call.tenant_weight;
    ++taken_count_;
    erase(id);
}

void call_queue::remove(ticket id) {
    erase(id);
}

void call_queue::erase(ticket id) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) {
        return;
    }
    const queued_call call = found->second;
    by_arrival_.erase({call.arrived, id});
    const auto level = tiers_.find(call.priority);
    const auto queue = level->second.find(call.tenant);
    queue->second.by_rank.erase({call.rank, id});
    if (queue->second.by_rank.empty()) {
        level->second.erase(queue);
    }
    if (level->second.empty()) {
        tiers_.erase(level);
    }
    --waiting_counts_[call.tenant];
    calls_.erase(found);
}

std::size_t call_queue::waiting_of(const std::string& tenant) const {
    const auto found = waiting_counts_.find(tenant);
    return found == waiting_counts_.end() ? 0 : found->second;
}

const queued_call* call_queue::oldest() const {
    if (by_arrival_.empty()) {
        return nullptr;
    }
    return &calls_.at(by_arrival_.begin()->second);
}

}  // namespace tallyfold::scheduling
