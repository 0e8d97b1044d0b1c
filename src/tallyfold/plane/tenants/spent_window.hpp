#pragma once
/// @file
/// Counts what was spent within the last span of time, in slots. Pure.
///
/// Of the oldest slot, which the span covers in part, that part is counted, rounded up: counting it
/// whole would hold a tenant to a window longer than its limit's, by up to a 20th.

#include <array>
#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tenants {

class spent_window {
  public:
    /// @param window split into slots
    explicit spent_window(duration window) : slot_length_(window / (slot_count - 1)) {}

    void add(instant now) {
        roll(now);
        ++slots_[newest_ % slot_count];
        ++sum_;
    }
    /// One that was counted last is not spent after all.
    void take_back(instant now) {
        roll(now);
        for (std::uint64_t age = 0; age < slot_count && age <= newest_; ++age) {
            std::uint32_t& slot = slots_[(newest_ - age) % slot_count];
            if (slot > 0) {
                --slot;
                --sum_;
                return;
            }
        }
    }
    [[nodiscard]] std::uint32_t count(instant now) {
        roll(now);
        const std::uint32_t oldest = slots_[(newest_ + 1) % slot_count];
        const duration into_newest = now.time_since_epoch() % slot_length_;
        const auto passed =
            static_cast<std::uint32_t>(oldest * into_newest.count() / slot_length_.count());
        return sum_ - passed;
    }

  private:
    static constexpr std::uint64_t slot_count = 21;

    void roll(instant now) {
        const auto current = static_cast<std::uint64_t>(now.time_since_epoch() / slot_length_);
        if (newest_ == 0 || current >= newest_ + slot_count) {
            slots_.fill(0);
            sum_ = 0;
            newest_ = current;
            return;
        }
        while (newest_ < current) {
            ++newest_;
            std::uint32_t& slot = slots_[newest_ % slot_count];
            sum_ -= slot;
            slot = 0;
        }
    }

    duration slot_length_;
    std::array<std::uint32_t, slot_count> slots_{};
    std::uint64_t newest_ = 0;
    std::uint32_t sum_ = 0;
};

}  // namespace tallyfold::tenants
