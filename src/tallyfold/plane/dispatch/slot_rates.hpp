#pragma once
/// @file
/// Rate at which the slots of an engine group free, and how many of them go to calls of each
/// priority, over the latest half second. Pure; wait_queue estimates waits by it.

#include <compare>
#include <cstdint>
#include <deque>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::dispatch {

/// Priority of a call; the tenant's is compared first, and 0 is the highest.
struct call_priority {
    std::int32_t tenant = 0;
    std::int32_t route = 0;

    auto operator<=>(const call_priority&) const = default;
};

class slot_rates {
  public:
    /// Span over which rates are measured: some hundred ends of calls of a loaded group, and short
    /// enough to follow the start of a burst.
    static constexpr duration span = std::chrono::milliseconds(500);

    void record_freed(instant now) {
        forget(now);
        freed_.push_back(now);
    }
    void record_granted(const call_priority& priority, instant now) {
        forget(now);
        granted_.push_back({priority, now});
    }

    /// Sets the rate at which slots free while all are taken, in slots per second: the number of
    /// slots over the mean duration of a call. After a quiet time it is known before enough slots
    /// have freed. 0 when unknown.
    void set_capacity(double slots_per_second) { capacity_ = slots_per_second; }

    /// Slots per second that free and are not taken by calls of a higher priority; 0 while too few
    /// have freed to tell and no capacity is set.
    [[nodiscard]] double available_to(const call_priority& priority, instant now) const;

  private:
    /// Number of freed slots below which no rate is given.
    static constexpr std::size_t min_freed = 5;
    /// Least share of the freed slots that a priority is assumed to get, so that estimates for low
    /// priorities stay finite.
    static constexpr double min_share = 0.05;
    struct grant {
        call_priority priority;
        instant at{};
    };
    void forget(instant now);

    double capacity_ = 0;
    std::deque<instant> freed_;
    std::deque<grant> granted_;
};

}  // namespace tallyfold::dispatch
