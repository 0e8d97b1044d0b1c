#pragma once
/// @file
/// What operators say about routes and services: one whole, versioned configuration.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/common/types.hpp"

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

    bool operator==(const route&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(name, host, prefix, services, repeats, streaming, resumable, timeout_ms,
                target_latency_ms, priority, max_attempts, keeps_history, retention_seconds);
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

struct configuration {
    configuration_version version = no_version;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;

    bool operator==(const configuration&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, routes, services, limits);
    }
};

}  // namespace tallyfold::routing
