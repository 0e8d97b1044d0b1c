#pragma once
/// @file
/// The nodes of a simulated world. Private to sim/world*.cpp.

#include "sim/world.hpp"

namespace tallyfold::sim {

constexpr duration tick_interval = std::chrono::milliseconds(10);
/// Time between two looks at the links for silence.
constexpr duration silence_check = std::chrono::milliseconds(100);
/// Time between two samples of what nodes serve with.
constexpr duration sample_interval = std::chrono::milliseconds(250);

struct world::node_base {
    virtual ~node_base() = default;
    std::string name;
    bool alive = false;
    bool frozen = false;
    /// Grows with each start; what was meant for an earlier life is dropped.
    std::uint64_t generation = 0;
    /// How far the node's clock has jumped ahead.
    duration clock_ahead{};
    /// Work that reached a frozen node; done when it wakes.
    std::vector<std::function<void()>> backlog;
    /// Ends the node's life: what is in memory is gone.
    virtual void forget() = 0;
};

struct world::control_node : node_base {
    std::unique_ptr<control::control_core> core;
    // The disk.
    consensus::replica_id identity = consensus::no_replica;
    std::map<group_id, consensus::durable_group> disk;
    /// Admin requests that wait, by token: index of the operator's record, or none for reads.
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
    /// Who reads each stream: scheduler and its generation.
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
