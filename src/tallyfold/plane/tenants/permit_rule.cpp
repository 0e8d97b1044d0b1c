#include "tallyfold/plane/tenants/permit_rule.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::tenants {

namespace {

/// Shortest retry delay of a refused call, in milliseconds: one tick of quota_client.
constexpr double min_retry_after_ms = 50;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Whole permits left below a bound.
double whole_permits_left(double bound, std::uint64_t counted) {
    return std::max(0.0, std::floor(bound - static_cast<double>(counted)));
}

double held_by_node(const permit_use& use) {
    return use.spent_limit > use.spent ? static_cast<double>(use.spent_limit - use.spent) : 0;
}

/// Applies while the lender doesn't know yet what its predecessor lent.
granted_permits lendable_while_settling(const permit_use& use, const limit_use& tenant,
                                        duration running_for, double within_limit) {
    const double by_rate = tenant.rate_per_second * seconds(running_for);
    granted_permits lent;
    lent.needed = std::min({static_cast<double>(use.waiting_running), within_limit,
                            whole_permits_left(by_rate - tenant.lent_since_start, 0)});
    lent.spare = std::min(static_cast<double>(use.spare_wanted), held_by_node(use));
    return lent;
}

granted_permits lendable_once_settled(const permit_use& use, const limit_use& tenant,
                                      double within_limit) {
    granted_permits lent;
    lent.needed = std::min<double>(use.waiting_running, within_limit);
    const double unreserved = whole_permits_left(tenant.limit * (1 - reserved_share), tenant.spent);
    const double available_to_new = std::max(0.0, unreserved - lent.needed);
    lent.beginning = std::min<double>(use.waiting_new, available_to_new);
    lent.spare = std::min(static_cast<double>(use.spare_wanted), available_to_new - lent.beginning);
    return lent;
}

/// Permits left by the token bucket and, in a lender's first window, by the rate since its start.
struct rate_headroom {
    double for_all = 0;
    /// For future calls, and for new programs in a lender's first window: fewer, so that these
    /// don't use up the permits that calls of running programs need next.
    double for_new = 0;
};

rate_headroom headroom_by_rate(const permit_use& use, const limit_use& tenant, duration running_for,
                               const quota_rules& rules) {
    rate_headroom headroom;
    headroom.for_all = tenant.left_by_token_bucket;
    headroom.for_new = tenant.left_by_token_bucket - reserved_share * tenant.burst_tolerance;
    if (running_for < rules.window) {
        const double by_rate = tenant.rate_per_second * seconds(running_for);
        const double rate_left = std::max(0.0, by_rate - tenant.lent_since_start);
        headroom.for_all = std::min(headroom.for_all, rate_left + held_by_node(use));
        headroom.for_new =
            std::min(headroom.for_new, rate_left * (1 - reserved_share) + held_by_node(use));
    }
    return {whole_permits_left(headroom.for_all, 0), whole_permits_left(headroom.for_new, 0)};
}

/// Whole permits that the bound leaves for new programs and future calls. In a lender's first
/// window the limit is the bound, and permits held in advance would use it up.
double within_bound_for_new(const limit_use& tenant, double bound, duration running_for,
                            const quota_rules& rules) {
    const double reserved = running_for < rules.window ? bound * reserved_share : 0;
    return whole_permits_left(bound - reserved, tenant.counted);
}

}  // namespace

double burst_tolerance_for(const limit_use& tenant, const quota_rules& rules, duration resolution) {
    const double beyond_rate = tenant.bound - tenant.rate_per_second * seconds(rules.window);
    const double by_resolution = tenant.rate_per_second * seconds(resolution);
    return std::max(beyond_rate - by_resolution, by_resolution + 1);
}

granted_permits lendable_permits(const permit_use& use, const limit_use& tenant,
                                 duration running_for, const quota_rules& rules) {
    const double bound = running_for < rules.window ? tenant.limit : tenant.bound;
    const double within_bound = whole_permits_left(bound, tenant.counted);
    const double within_limit =
        std::min(within_bound, whole_permits_left(tenant.limit, tenant.spent));
    granted_permits lent = running_for < settling_time
                               ? lendable_while_settling(use, tenant, running_for, within_limit)
                               : lendable_once_settled(use, tenant, within_limit);
    const rate_headroom headroom = headroom_by_rate(use, tenant, running_for, rules);
    lent.needed = std::min(lent.needed, headroom.for_all);
    const double for_new =
        std::min(within_bound_for_new(tenant, bound, running_for, rules), headroom.for_new);
    // Waiting calls come before future ones: permits held in advance at other nodes must not use up
    // what is left for them.
    const double for_beginning =
        running_for < rules.window ? for_new : std::min(within_bound, headroom.for_all);
    lent.beginning = std::min(lent.beginning, std::max(0.0, for_beginning - lent.needed));
    lent.spare = std::min(lent.spare, std::max(0.0, for_new - lent.needed - lent.beginning));
    return lent;
}

std::uint32_t time_to_free_ms(const limit_use& tenant, double permits, const quota_rules& rules) {
    const double rate = std::max(1.0, tenant.limit / seconds(rules.window));
    return static_cast<std::uint32_t>(std::max(min_retry_after_ms, permits / rate * 1'000));
}

}  // namespace tallyfold::tenants
