#pragma once
/// @file
/// What a directory node has been told of back ends that broke calls off, to tell it on with its
/// beats. Not part of the log: it is old after a second. Pure.

#include <map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"

namespace tallyfold::directory {

class failure_relay {
  public:
    /// Told for this long: every node has asked each directory node about once by then.
    static constexpr duration told_for = std::chrono::milliseconds(800);
    /// More back ends than this at once are a fault that nodes find out without being told.
    static constexpr std::size_t max_told = 64;

    void note(const backend_name& backend, instant now) {
        const auto known = breaks_.find(backend);
        if (known != breaks_.end() && now - known->second < discovery::same_failure_window) {
            return;
        }
        if (known != breaks_.end() || breaks_.size() < max_told) {
            breaks_[backend] = now;
        }
    }
    [[nodiscard]] std::vector<discovery::relayed_failure> tell(instant now) {
        std::erase_if(breaks_, [&](const auto& each) { return now - each.second > told_for; });
        std::vector<discovery::relayed_failure> told;
        for (const auto& [backend, at] : breaks_) {
            told.push_back({backend, static_cast<std::uint32_t>(to_milliseconds(now - at))});
        }
        return told;
    }

  private:
    std::map<backend_name, instant> breaks_;
};

}  // namespace tallyfold::directory
