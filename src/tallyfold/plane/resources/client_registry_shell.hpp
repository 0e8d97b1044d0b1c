#pragma once
/// @file
/// Owns what the clients of this process may use (client_budget), and closes the connections that
/// give way. All listeners of a process share one registry. Used on the loop thread only.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "tallyfold/plane/resources/client_budget.hpp"

namespace tallyfold::resources {

class client_registry;

/// How a connection gives way.
enum class eviction : std::uint8_t {
    /// The request's memory is needed: it is refused, and the connection closed afterwards.
    refuse_request,
    /// The connection itself is needed: it is closed at once.
    close_connection,
};

/// One client's connection in the budget. Gives everything back when it is destroyed.
class client_session {
  public:
    client_session(client_registry& registry, client_id id) : registry_(registry), id_(id) {}
    ~client_session();
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;

    /// Changes the reserved memory; other clients give way for it where they make no progress.
    /// @param bytes memory of the connection and its request together
    /// @return false without a change when there is no room
    [[nodiscard]] bool reserve(std::uint64_t bytes);
    /// Memory that is reserved, in bytes.
    [[nodiscard]] std::uint64_t reserved() const;
    /// Returns the memory beyond `bytes`, of a request that has ended.
    void shrink(std::uint64_t bytes);
    void set_stage(client_stage stage);
    void record_bytes(std::uint64_t count);

  private:
    client_registry& registry_;
    client_id id_;
};

using client_session_pointer = std::shared_ptr<client_session>;

class client_registry {
  public:
    /// Makes a connection give way; may be called from within any method of the registry.
    /// @return false when a message has just arrived on an idle connection, which then stays
    using eviction_handler = std::function<bool(eviction, client_stage)>;

    /// Memory of a connection without a message, in bytes: its objects and coroutines.
    static constexpr std::uint64_t connection_bytes = 4U << 10U;

    client_registry(prometheus::Registry& metrics, budget_limits limits);

    /// Adds a new connection; another one gives way when the group is full.
    /// @return null when there is no room: the connection has to be closed
    client_session_pointer admit(client_group group, eviction_handler give_way);
    /// Records that a client was refused for want of room.
    /// @param what of the refusal for the log: "connection", "head", "body", "history" or
    /// "answer"
    void count_refusal(client_group group, const std::string& what, std::uint64_t bytes);
    /// Updates the gauges, and returns memory to the system after a burst.
    void update();

    [[nodiscard]] const client_budget& budget() const { return budget_; }

  private:
    friend class client_session;
    bool reserve(client_id id, std::uint64_t bytes);
    /// Makes a client give way. One that doesn't counts as making progress afterwards.
    void evict(client_id id, eviction how);
    void forget(client_id id);
    void count_freed(std::uint64_t before, std::uint64_t after);

    client_budget budget_;
    /// How each client gives way.
    std::map<client_id, eviction_handler> give_way_;
    /// Bytes of large requests that were freed since memory was last returned to the system.
    std::uint64_t freed_bytes_ = 0;
    prometheus::Family<prometheus::Counter>& refusals_;
    prometheus::Family<prometheus::Counter>& evictions_;
    prometheus::Family<prometheus::Gauge>& connections_;
    prometheus::Gauge& reserved_;
    prometheus::Gauge& limit_;
};

}  // namespace tallyfold::resources
