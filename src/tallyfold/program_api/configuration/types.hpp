#pragma once
/// @file
/// Types of the operators' configuration: versioned items, and commands that change one item each.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tallyfold::configuration {

/// Number of accepted changes; incremented by each.
using configuration_version = std::uint64_t;

struct tenant_settings {
    /// Share of the capacity relative to other tenants while all of them have queued calls.
    double weight = 1.0;
    /// Maximum number of queued calls at one scheduler; further calls are rejected.
    std::uint32_t queue_limit = 256;

    bool operator==(const tenant_settings&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(weight, queue_limit);
    }
};

struct class_settings {
    /// Higher values go first where the policy doesn't decide the order.
    std::int32_t priority = 0;
    /// Maximum budget of a program, in tokens.
    std::uint64_t budget_limit = 1'000'000;
    std::uint32_t turn_limit = 512;
    std::uint32_t queue_limit = 512;
    /// A call queued for longer than this is answered with deadline_exceeded.
    std::uint32_t queue_timeout_ms = 30'000;
    std::uint32_t tool_timeout_ms = 5'000;
    /// A program without a call for this long is closed as abandoned.
    std::uint32_t idle_timeout_ms = 600'000;
    /// Maximum ratio of retries to first attempts, per class and scheduler.
    double retry_ratio = 0.2;
    /// Name of the policy that orders and places calls and decides on retention.
    std::string policy;
    /// Model that the class's calls use.
    std::string model;

    bool operator==(const class_settings&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(priority, budget_limit, turn_limit, queue_limit, queue_timeout_ms, tool_timeout_ms,
                idle_timeout_ms, retry_ratio, policy, model);
    }
};

struct policy_source {
    /// Lua chunk that defines the functions order, place and retain.
    std::string text;

    bool operator==(const policy_source&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(text);
    }
};

/// Drain of a back end: it gets no new work until the item is removed.
struct backend_drain {
    std::string reason;

    bool operator==(const backend_drain&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(reason);
    }
};

using item_body = std::variant<tenant_settings, class_settings, policy_source, backend_drain>;

enum class item_kind : std::uint8_t { tenant, program_class, policy, drain };

std::string_view to_string(item_kind kind);

struct item_key {
    item_kind kind = item_kind::tenant;
    std::string name;

    auto operator<=>(const item_key&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(kind, name);
    }
};

struct item {
    item_key key;
    /// Number of changes of this item; a change command states the version that it is based on.
    std::uint64_t version = 0;
    /// Configuration version of this item's last change.
    configuration_version changed_at = 0;
    bool removed = false;
    item_body body;

    bool operator==(const item&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(key, version, changed_at, removed, body);
    }
};

struct change_command {
    /// Idempotency key from the operator's tool; a resend with the same key gets the first result.
    std::string command_identity;
    std::string operator_name;
    item_key key;
    std::uint64_t expected_version = 0;
    bool remove = false;
    item_body body;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(command_identity, operator_name, key, expected_version, remove, body);
    }
};

enum class change_status : std::uint8_t { accepted, version_conflict, invalid };

std::string_view to_string(change_status status);

struct change_result {
    change_status status = change_status::invalid;
    /// Version of the item after the command; on a conflict, its current version.
    std::uint64_t item_version = 0;
    configuration_version version = 0;
    std::string detail;

    bool operator==(const change_result&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(status, item_version, version, detail);
    }
};

/// Items changed after version `base`; they update a copy at `base` to `version`.
struct configuration_delta {
    configuration_version base = 0;
    configuration_version version = 0;
    std::vector<item> items;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(base, version, items);
    }
};

}  // namespace tallyfold::configuration
