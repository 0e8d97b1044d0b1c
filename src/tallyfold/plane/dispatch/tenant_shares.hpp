#pragma once
/// @file
/// Tenants' shares of the work of an engine group, in tokens over a sliding window. Pure;
/// wait_queue serves tenants within their share before those beyond it.
///
/// Load pattern: one tenant sends many times its usual while slots are short. Its calls must not
/// delay those of tenants that stay within their share. Shares that tenants leave unused go to the
/// others, since calls beyond a share are served once no other call waits.

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::dispatch {

class tenant_shares {
  public:
    /// Window over which shares hold: several calls of each active tenant, and short against the
    /// seconds of a burst.
    static constexpr duration window = std::chrono::seconds(2);
    /// A tenant is beyond its share when it exceeds it by this factor and by `tolerated_calls` of
    /// average size. Below, the difference is within the variation of a few calls.
    static constexpr double tolerance = 1.5;
    static constexpr double tolerated_calls = 2;

    /// Records that a tenant's call got a slot.
    /// @param weight values that are not above 0 count as 1
    /// @param cost in tokens; negative values count as 0
    void record(const std::string& tenant, double weight, double cost, instant now);
    /// True unless the tenant has used more than its share of the work in the window.
    [[nodiscard]] bool is_within(const std::string& tenant, instant now) const;
    /// Work of the tenant in the window, in tokens.
    [[nodiscard]] double used_by(const std::string& tenant, instant now) const;

  private:
    static constexpr std::size_t buckets = 10;
    static constexpr duration bucket_length = window / buckets;
    /// Sums by bucket of time; a bucket of an earlier round counts as empty.
    struct sliding_sum {
        std::array<double, buckets> sums{};
        std::array<std::int64_t, buckets> rounds{};

        void add(double value, instant now);
        [[nodiscard]] double value(instant now) const;
    };
    struct tenant_use {
        double weight = 1;
        sliding_sum tokens;
        instant latest{};
    };
    void forget_idle(instant now);

    std::map<std::string, tenant_use> tenants_;
    sliding_sum all_tokens_;
    sliding_sum all_calls_;
    /// Sum of the weights of `tenants_`.
    double weights_ = 0;
    instant forgotten_at_{};
};

}  // namespace tallyfold::dispatch
