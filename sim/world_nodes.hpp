#pragma once
/// @file
/// Nodes of a simulated world. Private to sim/world*.cpp.

#include "sim/world.hpp"

namespace tallyfold::sim {

constexpr duration tick_interval = std::chrono::milliseconds(10);
/// Interval between checks of links for idle timeouts.
constexpr duration link_check_interval = std::chrono::milliseconds(100);
/// Interval between samples of the configuration versions in use.
constexpr duration sample_interval = std::chrono::milliseconds(250);

struct world::node_base {
    virtual ~node_base() = default;
    std::string name;
    bool alive = false;
    bool frozen = false;
    /// Incremented at each start; events addressed to an earlier generation are dropped.
    std::uint64_t generation = 0;
    /// Offset of the node's clock ahead of virtual time.
    duration clock_ahead{};
    /// Actions that arrive while the node is frozen; run when it is thawed.
    std::vector<std::function<void()>> backlog;
    /// Discards the node's in-memory state.
    virtual void forget() = 0;
};

struct world::control_node : node_base {
    std::unique_ptr<control::control_core> core;
    // Durable state.
    consensus::replica_id identity = consensus::no_replica;
    std::map<group_id, consensus::durable_group> disk;
    /// Index of the operator's record by the token of the pending admin request.
    std::map<std::uint64_t, std::size_t> admin;
    void forget() override { core.reset(); }
};

struct world::scheduler_node : node_base {
    std::unique_ptr<scheduler::scheduler_core> core;
    void forget() override { core.reset(); }
};

struct world::gateway_node : node_base {
    std::unique_ptr<gateway::gateway_core> core;
    void forget() override { core.reset(); }
};

struct world::engine_node : node_base {
    std::unique_ptr<stand_ins::engine_core> core;
    /// Reader of each stream: scheduler name and generation.
    std::map<scheduler::attempt_key, std::pair<std::string, std::uint64_t>> readers;
    instant wake_at{};
    bool leaving = false;
    void forget() override {
        core.reset();
        readers.clear();
        wake_at = {};
    }
};

struct world::service_node : node_base {
    std::unique_ptr<stand_ins::service_core> core;
    stand_ins::service_record disk;
    scheduling::backend_kind kind = scheduling::backend_kind::app;
    std::map<scheduler::attempt_key, std::pair<std::string, std::uint64_t>> readers;
    instant wake_at{};
    bool leaving = false;
    void forget() override {
        core.reset();
        readers.clear();
        wake_at = {};
    }
};

template <class Node>
Node& world::node_as(const std::string& name) {
    return dynamic_cast<Node&>(*nodes_.at(name));
}

}  // namespace tallyfold::sim
