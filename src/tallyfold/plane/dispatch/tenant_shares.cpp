#include "tallyfold/plane/dispatch/tenant_shares.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::dispatch {

namespace {

std::int64_t round_of(instant now, duration bucket_length) {
    return now.time_since_epoch() / bucket_length;
}

}  // namespace

void tenant_shares::sliding_sum::add(double value, instant now) {
    const std::int64_t round = round_of(now, bucket_length);
    const auto index = static_cast<std::size_t>(round) % buckets;
    if (rounds[index] != round) {
        rounds[index] = round;
        sums[index] = 0;
    }
    sums[index] += value;
}

double tenant_shares::sliding_sum::value(instant now) const {
    const std::int64_t newest = round_of(now, bucket_length);
    double total = 0;
    for (std::size_t index = 0; index < buckets; ++index) {
        if (newest - rounds[index] < static_cast<std::int64_t>(buckets)) {
            total += sums[index];
        }
    }
    return total;
}

void tenant_shares::forget_idle(instant now) {
    if (now - forgotten_at_ < bucket_length) {
        return;
    }
    forgotten_at_ = now;
    std::erase_if(tenants_, [&](const auto& entry) {
        const bool idle = now - entry.second.latest > window;
        weights_ -= idle ? entry.second.weight : 0;
        return idle;
    });
}

void tenant_shares::record(const std::string& tenant, double weight, double cost, instant now) {
    forget_idle(now);
    const double valid_weight = std::isfinite(weight) && weight > 0 ? weight : 1;
    const double valid_cost = std::isfinite(cost) ? std::max(0.0, cost) : 0;
    const auto [found, is_new] = tenants_.try_emplace(tenant);
    tenant_use& use = found->second;
    weights_ += valid_weight - (is_new ? 0 : use.weight);
    use.weight = valid_weight;
    use.latest = now;
    use.tokens.add(valid_cost, now);
    all_tokens_.add(valid_cost, now);
    all_calls_.add(1, now);
}

share_level tenant_shares::level_of(const std::string& tenant, instant now) const {
    const auto found = tenants_.find(tenant);
    if (found == tenants_.end()) {
        return share_level::well_within;
    }
    const double all = all_tokens_.value(now);
    const double share = all * found->second.weight / std::max(weights_, found->second.weight);
    const double average_call = all / std::max(1.0, all_calls_.value(now));
    const double used = found->second.tokens.value(now);
    if (used <= well_within_part * share) {
        return share_level::well_within;
    }
    return used <= share + tolerated_calls * average_call ? share_level::within
                                                          : share_level::beyond;
}

double tenant_shares::used_by(const std::string& tenant, instant now) const {
    const auto found = tenants_.find(tenant);
    return found == tenants_.end() ? 0 : found->second.tokens.value(now);
}

}  // namespace tallyfold::dispatch
