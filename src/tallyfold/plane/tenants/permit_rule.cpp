#include "tallyfold/plane/tenants/permit_rule.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::tenants {

namespace {

/// The shortest time after which a refused call may come again, in milliseconds. Chosen, not
/// measured: one tick of quota_client.
constexpr double min_room_after_ms = 50;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

/// Whole permits between what counts and a bound.
double left(double bound, std::uint64_t counted) {
    return std::max(0.0, std::floor(bound - static_cast<double>(counted)));
}

/// While the lender doesn't know yet what its predecessor lent.
lendable lendable_while_settling(const permit_use& use, const limit_use& tenant,
                                 duration running_for, double within_limit) {
    const double by_rate = tenant.rate_per_second * seconds(running_for);
    const double held_by_node =
        use.ceiling > use.spent ? static_cast<double>(use.ceiling - use.spent) : 0;
    lendable lent;
    lent.needed = std::min({static_cast<double>(use.needed), within_limit,
                            left(by_rate - tenant.granted_while_settling, 0)});
    lent.spare = std::min(static_cast<double>(use.wanted), held_by_node);
    return lent;
}

lendable lendable_once_settled(const permit_use& use, const limit_use& tenant,
                               double within_limit) {
    lendable lent;
    lent.needed = std::min<double>(use.needed, within_limit);
    const double unreserved = left(tenant.limit * (1 - reserved_share), tenant.spent);
    const double open_to_new = std::max(0.0, unreserved - lent.needed);
    lent.beginning = std::min<double>(use.beginning, open_to_new);
    lent.spare = std::min(static_cast<double>(use.wanted), open_to_new - lent.beginning);
    return lent;
}

}  // namespace

lendable lendable_permits(const permit_use& use, const limit_use& tenant, duration running_for,
                          const quota_rules& rules) {
    const double bound = running_for < rules.window ? tenant.limit : tenant.bound;
    const double within_bound = left(bound, tenant.counted);
    const double within_limit = std::min(within_bound, left(tenant.limit, tenant.spent));
    lendable lent = running_for < settling
                        ? lendable_while_settling(use, tenant, running_for, within_limit)
                        : lendable_once_settled(use, tenant, within_limit);
    lent.beginning = std::min(lent.beginning, within_bound - lent.needed);
    lent.spare = std::min(lent.spare, within_bound - lent.needed - lent.beginning);
    return lent;
}

std::uint32_t time_to_free_ms(const limit_use& tenant, double permits, const quota_rules& rules) {
    const double pace = std::max(1.0, tenant.limit / seconds(rules.window));
    return static_cast<std::uint32_t>(std::max(min_room_after_ms, permits / pace * 1'000));
}

}  // namespace tallyfold::tenants
