#pragma once
/// @file
/// Back ends that nodes have lately reported as failed, to be passed on in the answers to all other
/// nodes. Not replicated: a report is of no use after a second. Owns a bounded set of reports.
/// Pure.

#include <cstdint>
#include <map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"

namespace tallyfold::directory {

class failure_relay {
  public:
    /// Time for which a report is passed on. A node asks one directory node after another, one
    /// every 120 ms, so by then it has asked each of up to six.
    static constexpr duration told_for = std::chrono::milliseconds(800);
    /// Back ends that are passed on at once. Chosen, not measured: more than that fail only in a
    /// fault so large that nodes notice it without being told.
    static constexpr std::size_t max_told = 64;

    /// A node has reported a failure. Reports of one failure by several nodes count once, with the
    /// first one's time; what exceeds the bound is dropped.
    void add(const backend_name& backend, instant now) {
        const auto known = reported_.find(backend);
        const bool is_known = known != reported_.end();
        if (is_known && now - known->second < discovery::same_failure_window) {
            return;
        }
        if (is_known || reported_.size() < max_told) {
            reported_[backend] = now;
        }
    }

    /// The failures to pass on now, with their age in milliseconds; forgets older ones.
    [[nodiscard]] std::vector<discovery::relayed_failure> recent(instant now) {
        std::erase_if(reported_, [&](const auto& each) { return now - each.second > told_for; });
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
