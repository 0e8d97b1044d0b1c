#include "sim/network.hpp"

namespace tallyfold::sim {

duration network::delay(const std::string& from, const std::string& to) {
    const duration base = zones_[from] == zones_[to] ? same_zone_ : between_zones_;
    // Up to 10 % jitter.
    duration total = base + duration(random_.between(0, base.count() / 10 + 1));
    for (const std::string& end : {from, to}) {
        const auto found = slow_.find(end);
        if (found != slow_.end()) {
            total += found->second;
        }
    }
    return total;
}

}  // namespace tallyfold::sim
