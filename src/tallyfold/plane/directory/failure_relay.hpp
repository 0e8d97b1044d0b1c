#pragma once
/// @file
/// Back ends that nodes recently reported as failed, relayed in the answers to all other nodes. Not
/// replicated, since a report is obsolete after a second. Owns a bounded set of reports. Pure.

#include <cstdint>
#include <map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"

namespace tallyfold::directory {

class failure_relay {
  public:
    /// Time for which a report is relayed. Long enough for a node to query six directory nodes in
    /// turn, one per reporting interval of 120 ms.
    static constexpr duration relay_duration = std::chrono::milliseconds(800);
    /// Maximum number of back ends that are relayed at once. When more fail, nodes detect the
    /// failures themselves.
    static constexpr std::size_t max_relayed = 64;

    /// Records a reported failure. Reports of the same failure by several nodes count once, with
    /// the time of the first; reports beyond the bound are dropped.
    void add(const backend_name& backend, instant now) {
        const auto known = reported_.find(backend);
        const bool is_known = known != reported_.end();
        if (is_known && now - known->second < discovery::same_failure_window) {
            return;
        }
        if (is_known || reported_.size() < max_relayed) {
            reported_[backend] = now;
        }
    }

    /// Returns the failures to relay, with their age in milliseconds; removes expired ones.
    [[nodiscard]] std::vector<discovery::relayed_failure> recent(instant now) {
        std::erase_if(reported_,
                      [&](const auto& each) { return now - each.second > relay_duration; });
        std::vector<discovery::relayed_failure> failures;
        for (const auto& [backend, at] : reported_) {
            failures.push_back({backend, static_cast<std::uint32_t>(to_milliseconds(now - at))});
        }
        return failures;
    }

  private:
    std::map<backend_name, instant> reported_;
};

}  // namespace tallyfold::directory
