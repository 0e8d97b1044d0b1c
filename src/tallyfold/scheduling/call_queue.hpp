#pragma once
/// @file
/// Queue of calls that wait for a back end: by priority, then by weighted fair queuing between
/// tenants, then by the policy's rank. Bounds how often a call can be overtaken.

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::scheduling {

using ticket = std::uint64_t;

struct queued_call {
    ticket id = 0;
    std::string tenant;
    double tenant_weight = 1.0;
    std::int32_t priority = 0;
    /// From the policy; lower is served first within a tenant.
    double rank = 0;
    /// Estimated tokens that the call uses, charged to its tenant's share.
    double cost = 1;
    instant arrived{};
};

class call_queue {
  public:
    /// One in `oldest_first_interval` calls taken is the one that has waited longest, so that a
    /// call is served after at most `oldest_first_interval` times the calls that were ahead of it
    /// at its arrival.
    static constexpr std::uint64_t oldest_first_interval = 8;

    void push(const queued_call& call);
    /// Calls to try next, best first; they stay in the queue.
    [[nodiscard]] std::vector<ticket> next(std::size_t limit) const;
    /// Removes a call that is served, and charges its cost to its tenant.
    void take(ticket id);
    /// Removes a call that will not be served.
    void remove(ticket id);
    [[nodiscard]] std::size_t size() const { return calls_.size(); }
    [[nodiscard]] std::size_t waiting_of(const std::string& tenant) const;
    /// The call that has waited longest; null when the queue is empty.
    [[nodiscard]] const queued_call* oldest() const;

  private:
    struct tenant_queue {
        std::set<std::pair<double, ticket>> by_rank;
    };
    using tier = std::map<std::string, tenant_queue>;

    void erase(ticket id);
    void append_tier(const tier& queues, std::size_t limit, std::vector<ticket>& chosen) const;

    std::map<ticket, queued_call> calls_;
    std::set<std::pair<instant, ticket>> by_arrival_;
    /// Tenants' queues by priority, highest first; empty ones are removed.
    std::map<std::int32_t, tier, std::greater<>> tiers_;
    /// Virtual time by tenant: cost served, divided by the tenant's weight.
    std::map<std::string, double> virtual_times_;
    std::map<std::string, std::size_t> waiting_counts_;
    double queue_virtual_time_ = 0;
    std::uint64_t taken_count_ = 0;
};

}  // namespace tallyfold::scheduling
