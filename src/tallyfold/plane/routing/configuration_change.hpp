#pragma once
/// @file
/// What differs between two configurations, so that nodes and logs need not carry the whole one for
/// each change. A whole configuration is the difference from none.

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::routing {

/// A list as it is made from an older one: runs of the older list's items, each followed by new
/// ones.
template <class Item>
struct list_change {
    struct run {
        /// Position in the older list, and how many items from there on.
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
    /// The version that it is made from; none for a whole configuration.
    configuration_version base = no_version;
    configuration_version version = no_version;
    list_change<route> routes;
    list_change<service> services;
    list_change<tenant> tenants;
    caller_limits limits;
    /// Of the whole result: digest_of() of it.
    std::uint64_t digest = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(base, version, routes, services, tenants, limits, digest);
    }
};

enum class change_failure : std::uint8_t {
    /// It is made from another version.
    other_base,
    /// It names items that the base doesn't have, or its result has another digest.
    damaged,
};

/// The same for equal configurations, on every node.
std::uint64_t digest_of(const configuration& whole);

/// @param from may be an empty configuration, without a version
configuration_change difference(const configuration& from, const configuration& to);

tl::expected<configuration, change_failure> apply(const configuration_change& change,
                                                  const configuration& base);

}  // namespace tallyfold::routing
