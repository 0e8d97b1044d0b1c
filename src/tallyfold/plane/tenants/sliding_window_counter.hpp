#pragma once
/// @file
/// Sliding-window counter of spent permits, in slots. Pure.
///
/// The oldest slot lies in the window in part, and that part of it is counted, rounded up. Counting
/// it whole would lengthen the window by up to a 20th.

#include <algorithm>
#include <array>
#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tenants {

class sliding_window_counter {
  public:
    /// @param window length of the window, which is split into slots
    explicit sliding_window_counter(duration window) : slot_length_(window / (slot_count - 1)) {}

    void add(instant now, std::uint32_t permits = 1) {
        advance_to(now);
        slots_[newest_ % slot_count] += permits;
        sum_ += permits;
    }
    /// Removes a permit that was added at `added`. It is removed from its own slot: removed from a
    /// newer one, it would leave a later permit uncounted.
    /// @return false when the permit is no longer counted, and nothing changes
    bool remove_at(instant added, instant now) {
        advance_to(now);
        const std::uint64_t number = slot_number(added);
        const bool counts = number <= newest_ && newest_ - number < slot_count;
        if (!counts || slots_[number % slot_count] == 0) {
            return false;
        }
        --slots_[number % slot_count];
        --sum_;
        return true;
    }
    /// Removes permits that were added at unknown times. The oldest are removed, so that no span
    /// that ends now counts fewer than were spent in it.
    void remove_oldest(std::uint64_t permits, instant now) {
        advance_to(now);
        for (std::uint64_t age = slot_count; age-- > 0 && permits > 0;) {
            if (age > newest_) {
                continue;
            }
            std::uint32_t& slot = slots_[(newest_ - age) % slot_count];
            const auto taken = static_cast<std::uint32_t>(std::min<std::uint64_t>(slot, permits));
            slot -= taken;
            sum_ -= taken;
            permits -= taken;
        }
    }
    /// Visits each span that ends now and begins at a slot's start, shortest first.
    /// @param visit called with the span's length and the permits spent in it
    template <class Visitor>
    void visit_spans(instant now, Visitor visit) {
        advance_to(now);
        duration length = now.time_since_epoch() % slot_length_;
        std::uint32_t spent = 0;
        for (std::uint64_t age = 0; age < slot_count && age <= newest_; ++age) {
            spent += slots_[(newest_ - age) % slot_count];
            visit(length, spent);
            length += slot_length_;
        }
    }
    /// Largest difference in length between an arbitrary span and the nearest one of visit_spans().
    [[nodiscard]] duration slot_length() const { return slot_length_; }
    [[nodiscard]] std::uint32_t count(instant now) {
        advance_to(now);
        const std::uint32_t oldest = slots_[(newest_ + 1) % slot_count];
        const duration elapsed_in_newest = now.time_since_epoch() % slot_length_;
        const auto expired =
            static_cast<std::uint32_t>(oldest * elapsed_in_newest.count() / slot_length_.count());
        return sum_ - expired;
    }

  private:
    static constexpr std::uint64_t slot_count = 21;

    [[nodiscard]] std::uint64_t slot_number(instant at) const {
        return static_cast<std::uint64_t>(at.time_since_epoch() / slot_length_);
    }
    void advance_to(instant now) {
        const std::uint64_t current = slot_number(now);
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
