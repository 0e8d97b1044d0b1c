#pragma once
/// @file
/// Memory and connections that the clients of one process may use together. Decides which requests
/// get room and which connections give way; does no I/O.
///
/// Relies on its user to close the connections that it names, and to reserve memory before it reads
/// the bytes that take it.

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::resources {

/// Identifies a connection in one process; never reused.
using client_id = std::uint64_t;

/// Interface that a client is connected to. Each has its own limit of connections, so that the
/// clients of one don't lock out those of another.
enum class client_group : std::uint8_t { callers, operators, readiness, metrics, peers };
constexpr std::size_t client_group_count = 5;

/// What a connection does.
enum class client_stage : std::uint8_t {
    /// Connected, without a byte so far.
    connected,
    /// A part of a message was read.
    reading,
    /// Waits for the next message after an earlier one was answered.
    kept,
    /// Its message was read whole and is being handled.
    serving,
    /// Refused; remains open for a moment, so that the client can read the answer.
    closing,
};
constexpr std::size_t client_stage_count = 5;

/// Name of the group in metrics and logs.
std::string_view name_of(client_group group);
std::string_view name_of(client_stage stage);

struct budget_limits {
    /// Memory of all clients together, in bytes.
    std::uint64_t bytes = 0;
    /// Memory of all clients with a large reservation together; the rest is left to the others.
    std::uint64_t large_bytes = 0;
    std::array<std::size_t, client_group_count> connections{};
};

/// Divides what a process has between its clients and itself.
/// @param memory_bytes memory of the whole process
/// @param descriptors open files and sockets of the whole process
[[nodiscard]] budget_limits divide_resources(std::uint64_t memory_bytes, std::size_t descriptors);

class client_budget {
  public:
    /// A reservation above this size, in bytes, is large.
    static constexpr std::uint64_t max_small_bytes = 128U << 10U;
    /// Number of bytes that count as progress. A client that sends less is as good as silent.
    static constexpr std::uint64_t progress_step_bytes = 4U << 10U;
    /// Time without progress after which a client that sends gives way to others.
    static constexpr duration stall_time = std::chrono::seconds(1);

    explicit client_budget(budget_limits limits) : limits_(limits) {}

    /// Adds a connection, even beyond the limit: the user closes connection_victim() first.
    client_id open(client_group group, instant now);
    void close(client_id client);
    void set_stage(client_id client, client_stage stage, instant now);
    /// Records that some bytes of the message arrived.
    void record_bytes(client_id client, std::uint64_t count, instant now);
    /// Changes the memory that the client has reserved. A smaller reservation is always granted.
    /// @return false without a change when there is no room for it
    [[nodiscard]] bool reserve(client_id client, std::uint64_t bytes);

    /// True when the group has no room for another connection.
    [[nodiscard]] bool is_full(client_group group) const;
    /// The connection that gives way to a new one of its group; nothing when all of them are in
    /// use.
    [[nodiscard]] std::optional<client_id> connection_victim(client_group group, instant now) const;
    /// The client that gives way to a reservation of another one that found no room: the one that
    /// has made no progress for longest. Nothing when all that would help make progress.
    /// @param asking the client that asked for the reservation
    /// @param bytes size of that reservation
    [[nodiscard]] std::optional<client_id> memory_victim(client_id asking, std::uint64_t bytes,
                                                         instant now) const;

    [[nodiscard]] bool contains(client_id client) const { return clients_.contains(client); }
    /// Of a client that is open.
    [[nodiscard]] client_stage stage_of(client_id client) const {
        return clients_.at(client).stage;
    }
    [[nodiscard]] client_group group_of(client_id client) const {
        return clients_.at(client).group;
    }
    /// Memory that a client has reserved; 0 once it is closed.
    [[nodiscard]] std::uint64_t reserved_by(client_id client) const;
    [[nodiscard]] std::uint64_t reserved_bytes() const { return reserved_; }
    [[nodiscard]] std::size_t connections(client_group group) const {
        return counts_[static_cast<std::size_t>(group)];
    }
    [[nodiscard]] const budget_limits& limits() const { return limits_; }

  private:
    struct client {
        client_group group = client_group::callers;
        client_stage stage = client_stage::connected;
        std::uint64_t reserved = 0;
        /// Bytes that arrived since `progressed`.
        std::uint64_t pending_bytes = 0;
        /// When the stage began, or a step of progress was made within it.
        instant progressed{};
    };
    using ordered_clients = std::set<std::pair<instant, client_id>>;

    ordered_clients& clients_in(client_group group, client_stage stage);
    [[nodiscard]] const ordered_clients& clients_in(client_group group, client_stage stage) const;
    void move(client_id id, client& moved, client_stage stage, instant now);
    /// Memory that the other clients have reserved.
    [[nodiscard]] std::uint64_t reserved_by_others(const client& asking) const;
    [[nodiscard]] std::uint64_t large_reserved_by_others(const client& asking) const;
    static bool is_large(std::uint64_t bytes) { return bytes > max_small_bytes; }

    budget_limits limits_;
    std::map<client_id, client> clients_;
    /// Clients by group and stage, those without progress for longest first.
    std::array<std::array<ordered_clients, client_stage_count>, client_group_count> ordered_;
    std::array<std::size_t, client_group_count> counts_{};
    std::uint64_t reserved_ = 0;
    /// Sum of the large reservations.
    std::uint64_t large_ = 0;
    client_id last_id_ = 0;
};

}  // namespace tallyfold::resources
