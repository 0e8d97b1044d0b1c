#pragma once
/// @file
/// The operators' configuration of routes, services and tenants: complete and versioned.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::routing {

/// Higher versions replace lower ones; 0 for no configuration.
using configuration_version = std::uint64_t;
constexpr configuration_version no_version = 0;

/// A service to which a route forwards requests, and its share of them.
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
    /// The request may run more than once.
    repeatable,
    /// The request runs at most once.
    at_most_once,
};

/// Longest retention that the records of turns can hold.
constexpr std::chrono::milliseconds max_retention{std::numeric_limits<std::uint32_t>::max()};

struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> services;
    repeatability repeats = repeatability::at_most_once;
    /// True when the response is an event stream.
    bool streaming = false;
    /// True when an interrupted stream may be resumed at another back end after its last event.
    bool resumable = false;
    std::uint32_t timeout_ms = 0;
    /// Latency within which a response earns its full credit.
    std::uint32_t target_latency_ms = 0;
    /// 0 is the highest priority.
    std::int32_t priority = 0;
    /// Maximum number of back ends that one request is sent to.
    std::uint32_t max_attempts = 1;
    /// True when a request contains only its new input, and earlier turns are stored by the system.
    bool keeps_history = false;
    /// As configured; retention() has the bounded value.
    double retention_seconds = 0;
    /// True when callers need no key.
    bool is_public = false;
    /// True when a back end that recently processed an object serves further requests for it
    /// faster.
    bool object_affinity = false;

    /// Time for which turns and spending of the route's programs are kept, at most max_retention; 0
    /// when the configuration doesn't say.
    [[nodiscard]] duration retention() const {
        const std::chrono::duration<double> longest = max_retention;
        const double seconds = std::clamp(retention_seconds, 0.0, longest.count());
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    bool operator==(const route&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        serialize_without_keys(archive, *this);
        archive(is_public, object_affinity);
    }
    /// Serializes the fields of format v1, which has no keys.
    template <class Archive, class Route>
    static void serialize_without_keys(Archive& archive, Route& route) {
        archive(route.name, route.host, route.prefix, route.services, route.repeats,
                route.streaming, route.resumable, route.timeout_ms, route.target_latency_ms,
                route.priority, route.max_attempts, route.keeps_history, route.retention_seconds);
    }
};

/// A route in format v1, as stored in logs and snapshots of earlier builds.
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
    /// Number of tokens that an engine's cache holds.
    token_count cache_tokens = 0;
    /// Number of tokens per event of a stream.
    std::uint32_t tokens_per_event = 1;

    bool operator==(const service&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, health_path, max_connections, is_engine, slots, cache_tokens,
                tokens_per_event);
    }
};

/// Limits on the size and duration of callers' requests.
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

/// A customer of the operators: its keys, its priority and its rate limit.
struct tenant {
    std::string name;
    /// Each key belongs to exactly one tenant.
    std::vector<std::string> keys;
    /// 0 is the highest priority; takes precedence over the route's priority.
    std::int32_t priority = 0;
    /// Requests per second over all nodes; 0 for no limit.
    double rate_per_second = 0;
    /// Number of requests that may exceed the rate in any period.
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
    /// When empty, callers need no key.
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
    /// Reads both formats, whatever the archive's format: format v1 begins with the version.
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

    /// True when the bytes are a configuration in format v2.
    [[nodiscard]] static bool is_in_second_format(std::string_view bytes) {
        std::uint64_t first = 0;
        if (bytes.size() < sizeof(first)) {
            return false;
        }
        std::memcpy(&first, bytes.data(), sizeof(first));
        return first == format_with_tenants;
    }

  private:
    /// Writes format v1. It omits is_public, which has no effect without tenants, and
    /// object_affinity, which only improves performance.
    template <class Archive>
    void save_without_tenants(Archive& archive) const {
        if (!tenants.empty()) {
            protocol::report_unsupported(archive, "a configuration with tenants");
            return;
        }
        archive(version, cereal::make_size_tag(routes.size()));
        for (const route& each : routes) {
            route::serialize_without_keys(archive, each);
        }
        archive(services, limits);
    }

    /// First number of format v2; versions are always far lower.
    static constexpr std::uint64_t format_with_tenants = 0xFFFF'FFFF'FFFF'FF01U;
};

/// Shared, since a node refers to a large configuration in several places and never modifies it.
using configuration_pointer = std::shared_ptr<const configuration>;

}  // namespace tallyfold::routing
