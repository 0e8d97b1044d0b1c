#pragma once
/// @file
/// What operators say about routes, services and tenants: one whole, versioned configuration.

#include <cstdint>
#include <cstring>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::routing {

/// Greater versions replace smaller ones; 0 means that none is known.
using configuration_version = std::uint64_t;
constexpr configuration_version no_version = 0;

/// One service that a route may send to, and its share of the requests.
struct weighted_service {
    std::string service;
    double weight = 1;

    bool operator==(const weighted_service&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(service, weight);
    }
};

enum class repeatability : std::uint8_t {
    /// May run more than once.
    repeatable,
    /// Runs at most once.
    at_most_once,
};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> services;
    repeatability repeats = repeatability::at_most_once;
    /// The answer is a series of events.
    bool streaming = false;
    /// A broken stream may go on elsewhere after its last event.
    bool resumable = false;
    std::uint32_t timeout_ms = 0;
    /// Time within which an answer is worth its full credit.
    std::uint32_t target_latency_ms = 0;
    /// 0 goes first.
    std::int32_t priority = 0;
    /// Back ends that one request may be run on.
    std::uint32_t max_attempts = 1;
    /// A request carries only its new input; what was said before is kept here.
    bool keeps_history = false;
    double retention_seconds = 0;
    /// Callers need no key.
    bool is_public = false;
    /// A back end that has seen a request's object lately works faster on the next one about it.
    bool object_affinity = false;

    bool operator==(const route&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        serialize_without_keys(archive, *this);
        archive(is_public, object_affinity);
    }
    /// The fields that a route had before there were keys.
    template <class Archive, class Route>
    static void serialize_without_keys(Archive& archive, Route& route) {
        archive(route.name, route.host, route.prefix, route.services, route.repeats,
                route.streaming, route.resumable, route.timeout_ms, route.target_latency_ms,
                route.priority, route.max_attempts, route.keeps_history, route.retention_seconds);
    }
};

/// A route as logs and snapshots from before there were keys hold it.
struct route_without_keys : route {
    template <class Archive>
    void serialize(Archive& archive) {
        serialize_without_keys(archive, static_cast<route&>(*this));
    }
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0;
    /// True for model engines.
    bool is_engine = false;
    std::uint32_t slots = 0;
    /// Tokens that an engine's memory holds.
    token_count cache_tokens = 0;
    /// Tokens that one event of a stream stands for.
    std::uint32_t tokens_per_event = 1;

    bool operator==(const service&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, health_path, max_connections, is_engine, slots, cache_tokens,
                tokens_per_event);
    }
};

/// Bounds on what a caller may send and how long it may take.
struct caller_limits {
    std::uint64_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 4U << 20U;
    std::uint32_t header_timeout_ms = 3'000;
    std::uint32_t idle_timeout_ms = 15'000;

    bool operator==(const caller_limits&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms);
    }
};

/// A customer of the operators: its keys, its rank, and how much it may ask for.
struct tenant {
    std::string name;
    /// Each key belongs to one tenant only.
    std::vector<std::string> keys;
    /// 0 goes first; it goes before a route's priority.
    std::int32_t priority = 0;
    /// Requests a second, over all nodes together; 0 sets no limit.
    double rate_per_second = 0;
    /// Requests beyond the rate, in any span of time.
    double burst = 0;

    [[nodiscard]] bool is_limited() const { return rate_per_second > 0; }
    bool operator==(const tenant&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, keys, priority, rate_per_second, burst);
    }
};

struct configuration {
    configuration_version version = no_version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// With none, callers need no key.
    std::vector<tenant> tenants;

    bool operator==(const configuration&) const = default;
    template <class Archive>
    void save(Archive& archive) const {
        if (archive.format() < protocol::format_version::v2) {
            save_without_tenants(archive);
            return;
        }
        archive(format_with_tenants, version, routes, services, limits, tenants);
    }
    /// Reads both forms, whichever the archive is of: the one without tenants begins with the
    /// version.
    template <class Archive>
    void load(Archive& archive) {
        std::uint64_t first = 0;
        archive(first);
        if (first == format_with_tenants) {
            archive(version, routes, services, limits, tenants);
            return;
        }
        version = first;
        std::vector<route_without_keys> earlier;
        archive(earlier, services, limits);
        routes.assign(earlier.begin(), earlier.end());
    }

    /// True when the bytes of a configuration are of the second form.
    [[nodiscard]] static bool is_in_second_format(std::string_view bytes) {
        std::uint64_t first = 0;
        if (bytes.size() < sizeof(first)) {
            return false;
        }
        std::memcpy(&first, bytes.data(), sizeof(first));
        return first == format_with_tenants;
    }

  private:
    /// The first form. Public routes need nothing where no caller needs a key, and what makes a
    /// back end faster for an object is a hint, of use with the keys that callers send beside it.
    template <class Archive>
    void save_without_tenants(Archive& archive) const {
        if (!tenants.empty()) {
            protocol::note_lacking(archive, "a configuration with tenants");
            return;
        }
        archive(version, cereal::make_size_tag(routes.size()));
        for (const route& each : routes) {
            route::serialize_without_keys(archive, each);
        }
        archive(services, limits);
    }

    /// No version comes near this number.
    static constexpr std::uint64_t format_with_tenants = 0xFFFF'FFFF'FFFF'FF01U;
};

/// Shared, since a node holds a large one at several places and never changes it.
using configuration_pointer = std::shared_ptr<const configuration>;

}  // namespace tallyfold::routing
