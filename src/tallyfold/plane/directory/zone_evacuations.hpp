#pragma once
/// @file
/// Zones whose back ends must get no new requests, by order of the operators. Part of the
/// directory's replicated state; a deterministic state machine.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::directory {

/// Begins or ends the evacuation of a zone.
struct evacuate_zone {
    std::string zone;
    bool evacuated = false;
    /// Wall-clock time of the order in milliseconds since the epoch, for operators.
    std::uint64_t ordered_at_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        if (archive.format() < protocol::format_version::v3) {
            protocol::report_unsupported(archive, "the evacuation of a zone");
        }
        archive(zone, evacuated, ordered_at_ms);
    }
};

class zone_evacuations {
  public:
    /// Maximum number of zones; further ones are not evacuated.
    static constexpr std::size_t max_zones = 256;

    /// Applies an order. One that changes nothing has no effect.
    void apply(const evacuate_zone& order) {
        const bool changes = contains(order.zone) != order.evacuated;
        if (!changes || (order.evacuated && !accepts(order.zone))) {
            return;
        }
        ++revision_;
        if (order.evacuated) {
            ordered_at_ms_[order.zone] = order.ordered_at_ms;
        } else {
            ordered_at_ms_.erase(order.zone);
        }
    }

    [[nodiscard]] bool contains(const std::string& zone) const {
        return ordered_at_ms_.contains(zone);
    }
    /// True unless too many other zones are evacuated.
    [[nodiscard]] bool accepts(const std::string& zone) const {
        return contains(zone) || ordered_at_ms_.size() < max_zones;
    }
    /// Increases with each change; 0 before the first.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }
    [[nodiscard]] std::vector<std::string> zones() const {
        std::vector<std::string> names;
        for (const auto& [zone, ordered_at_ms] : ordered_at_ms_) {
            names.push_back(zone);
        }
        return names;
    }

    template <class Archive>
    void serialize(Archive& archive) {
        archive(revision_, ordered_at_ms_);
    }

  private:
    std::uint64_t revision_ = 0;
    /// Evacuated zones with the time of the order.
    std::map<std::string, std::uint64_t> ordered_at_ms_;
};

}  // namespace tallyfold::directory
