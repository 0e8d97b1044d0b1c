#pragma once
/// @file
/// Simulated network: delays, one-way and two-way partitions without errors, slow links,
/// reordering, duplication.

#include <map>
#include <set>
#include <string>
#include <utility>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/common/time.hpp"

namespace tallyfold::sim {

class network {
  public:
    explicit network(std::uint64_t seed) : random_(seed) {}

    void set_zone(const std::string& node, const std::string& zone) { zones_[node] = zone; }
    void set_delays(duration same_zone, duration between_zones) {
        same_zone_ = same_zone;
        between_zones_ = between_zones;
    }
    /// Drops messages from `from` to `to` without an error.
    void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
    void heal(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }
    void heal_all() {
        cuts_.clear();
        slow_.clear();
        chaotic_ = false;
    }
    void slow(const std::string& node, duration extra) { slow_[node] = extra; }
    /// While set, messages between replicas are also duplicated and reordered.
    void set_chaotic(bool chaotic) { chaotic_ = chaotic; }
    [[nodiscard]] bool chaotic() const { return chaotic_; }

    [[nodiscard]] bool passes(const std::string& from, const std::string& to) const {
        return !cuts_.contains({from, to});
    }
    duration delay(const std::string& from, const std::string& to);
    random_source& random() { return random_; }

  private:
    random_source random_;
    std::map<std::string, std::string> zones_;
    duration same_zone_ = std::chrono::microseconds(200);
    duration between_zones_ = std::chrono::microseconds(1500);
    std::set<std::pair<std::string, std::string>> cuts_;
    std::map<std::string, duration> slow_;
    bool chaotic_ = false;
};

}  // namespace tallyfold::sim
