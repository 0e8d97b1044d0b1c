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

/// Use of a tenant's share; lower goes first.
enum class share_level : std::uint8_t { well_within, within, beyond };

class tenant_shares {
  public:
    /// Window over which shares hold: several calls of each active tenant, and short against the
    /// seconds of a burst.
    static constexpr duration window = std::chrono::seconds(2);
    /// A tenant is beyond its share when it exceeds it by this many calls of average size. A
    /// tolerance in proportion to the share would let the others together take all of a small one.
    static constexpr double tolerated_calls = 1;

    /// Part of its share up to which a tenant goes before the others that are within theirs. All
    /// tenants that send too much alternate around their full shares; without this level their
    /// older calls would go before those of a tenant that sends less than its share.
    static constexpr double well_within_part = 0.8;

    /// Records that a tenant's call got a slot.
    /// @param weight values that are not above 0 count as 1
    /// @param cost in tokens; negative values count as 0
    void record(const std::string& tenant, double weight, double cost, instant now);
    /// How much of its share of the work in the window the tenant has used.
    [[nodiscard]] share_level level_of(const std::string& tenant, instant now) const;
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
