#pragma once
/// @file
/// Difference between two configurations, so that nodes and logs need not store and send the full
/// configuration for each change. A full configuration is the difference from an empty one.

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::routing {

/// Builds a list from an older one: runs of the older list's items, each followed by new items.
template <class Item>
struct list_change {
    struct run {
        /// Position of the run in the older list, and its number of items.
        std::uint32_t first = 0;
        std::uint32_t count = 0;
        std::vector<Item> then;

        template <class Archive>
        void serialize(Archive& archive) {
            archive(first, count, then);
        }
    };
    std::vector<run> runs;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(runs);
    }
};

struct configuration_change {
    /// The version to which the change applies; none for a full configuration.
    configuration_version base = no_version;
    configuration_version version = no_version;
    list_change<route> routes;
    list_change<service> services;
    list_change<tenant> tenants;
    caller_limits limits;
    /// digest_of() the resulting configuration.
    std::uint64_t digest = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(base, version, routes, services, tenants, limits, digest);
    }
};

enum class change_failure : std::uint8_t {
    /// The change applies to another version.
    base_mismatch,
    /// The change refers to items that the base does not have, or the result has another digest.
    result_mismatch,
};

/// Returns a hash of the contents; equal on every node for equal configurations.
std::uint64_t digest_of(const configuration& whole);

/// @param from may be an empty configuration without a version
configuration_change difference(const configuration& from, const configuration& to);

tl::expected<configuration, change_failure> apply(const configuration_change& change,
                                                  const configuration& base);

}  // namespace tallyfold::routing
