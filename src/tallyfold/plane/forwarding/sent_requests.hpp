#pragma once
/// @file
/// The requests that were last sent over one connection to a back end. Pure.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::forwarding {

/// Remembers a limited number of identifiers. A surplus answer comes in place of one of the next
/// answers on its connection, so the identifiers of much earlier requests are safe to send again.
class sent_requests {
  public:
    /// Number of identifiers that are remembered, 8 bytes each.
    static constexpr std::size_t capacity = 128;

    void add(const std::string& request) {
        if (hashes_.size() < capacity) {
            hashes_.push_back(stable_hash(request));
            return;
        }
        hashes_[oldest_] = stable_hash(request);
        oldest_ = (oldest_ + 1) % capacity;
    }
    [[nodiscard]] bool contains(const std::string& request) const {
        return std::find(hashes_.begin(), hashes_.end(), stable_hash(request)) != hashes_.end();
    }

  private:
    std::vector<std::uint64_t> hashes_;
    /// Position of the oldest hash once the capacity is reached.
    std::size_t oldest_ = 0;
};

}  // namespace tallyfold::forwarding
