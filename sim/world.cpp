#include "sim/world.hpp"

#include <algorithm>

#include "sim/world_nodes.hpp"
#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::sim {

namespace {

constexpr std::array<const char*, 4> zone_names{"zone-a", "zone-b", "zone-c", "zone-d"};

}  // namespace

world::world(world_settings settings)
    : settings_(std::move(settings)),
      network_(combine_hash(settings_.seed, 1)),
      random_(combine_hash(settings_.seed, 2)),
      prefill_(std::make_shared<stand_ins::prefill_ledger>()) {
    if (settings_.workload.profile == stand_ins::deployment::hobart) {
        network_.set_delays(std::chrono::microseconds(100), std::chrono::microseconds(500));
    }
    build();
}

world::~world() = default;

void world::build() {
    const auto add = [&](const std::string& name, std::unique_ptr<node_base> node,
                         std::size_t index) {
        node->name = name;
        network_.set_zone(name, zone_names[index % zone_names.size()]);
        nodes_[name] = std::move(node);
    };
    for (std::size_t index = 1; index <= settings_.controls; ++index) {
        auto node = std::make_unique<control_node>();
        node->identity = random_.next() | 1U;
        add("control-" + std::to_string(index), std::move(node), index);
    }
    for (std::size_t index = 1; index <= settings_.schedulers; ++index) {
        add("scheduler-" + std::to_string(index), std::make_unique<scheduler_node>(), index);
    }
    for (std::size_t index = 1; index <= settings_.gateways; ++index) {
        add("gateway-" + std::to_string(index), std::make_unique<gateway_node>(), index);
    }
    for (std::size_t index = 1; index <= settings_.engines; ++index) {
        add("engine-" + std::to_string(index), std::make_unique<engine_node>(), index);
    }
    const auto add_service = [&](const std::string& name, scheduling::backend_kind kind,
                                 std::size_t index) {
        auto node = std::make_unique<service_node>();
        node->kind = kind;
        add(name, std::move(node), index);
    };
    for (std::size_t index = 1; index <= settings_.apps; ++index) {
        add_service("app-" + std::to_string(index), scheduling::backend_kind::app, index);
    }
    for (std::size_t index = 1; index <= settings_.tools; ++index) {
        add_service("tool-" + std::to_string(index), scheduling::backend_kind::tool, index);
    }
    for (const auto& [name, node] : nodes_) {
        start_node(name);
    }
    events_.after(link_check_interval, [this] { check_idle_links(); });
    events_.after(sample_interval, [this] { sample_configuration(); });
}

std::vector<std::string> world::names(const std::string& prefix) const {
    std::vector<std::string> found;
    for (const auto& [name, node] : nodes_) {
        if (name.starts_with(prefix)) {
            found.push_back(name);
        }
    }
    return found;
}

instant world::local_now(const node_base& node) const {
    return events_.now() + node.clock_ahead;
}

bool world::alive(const std::string& node) const {
    return nodes_.at(node)->alive;
}
bool world::frozen(const std::string& node) const {
    return nodes_.at(node)->frozen;
}

// --- node lifecycle ------------------------------------------------------------------------

void world::start_node(const std::string& name) {
    node_base& base = *nodes_.at(name);
    base.alive = true;
    base.frozen = false;
    base.backlog.clear();
    ++base.generation;
    const std::uint64_t seed = combine_hash(settings_.seed, stable_hash(name, base.generation));
    if (auto* control = dynamic_cast<control_node*>(&base)) {
        start_control(*control, seed);
    } else if (auto* scheduler = dynamic_cast<scheduler_node*>(&base)) {
        start_scheduler(*scheduler, seed);
    } else if (auto* gateway = dynamic_cast<gateway_node*>(&base)) {
        start_gateway(*gateway, seed);
    } else if (auto* engine = dynamic_cast<engine_node*>(&base)) {
        start_engine(*engine, seed);
    } else if (auto* service = dynamic_cast<service_node*>(&base)) {
        start_service(*service, seed);
    }
    const bool ticks = dynamic_cast<engine_node*>(&base) == nullptr &&
                       dynamic_cast<service_node*>(&base) == nullptr;
    if (ticks) {
        tick_loop(name, base.generation);
    }
}

void world::start_control(control_node& node, std::uint64_t seed) {
    control::control_settings options;
    options.node = node.name;
    options.journal_groups = settings_.journal_groups;
    options.shard_count = settings_.shard_count;
    options.peers = names("control-");
    options.snapshot_interval = settings_.snapshot_interval;
    options.seed = seed;
    consensus::recovered_node recovered;
    recovered.identity = node.identity;
    for (const auto& [group, durable] : node.disk) {
        recovered.groups[group] = durable.state();
    }
    node.core = std::make_unique<control::control_core>(options, recovered, local_now(node));
    node.admin.clear();
}

void world::start_scheduler(scheduler_node& node, std::uint64_t seed) {
    scheduler::scheduler_settings options;
    options.node = node.name;
    options.address = node.name;
    options.zone = zone_names[0];
    options.control_nodes = names("control-");
    options.journal_groups = settings_.journal_groups;
    options.shard_count = settings_.shard_count;
    options.seed = seed;
    node.core = std::make_unique<scheduler::scheduler_core>(options, local_now(node));
}

void world::start_gateway(gateway_node& node, std::uint64_t seed) {
    gateway::gateway_settings options;
    options.node = node.name;
    options.control_nodes = names("control-");
    options.shard_count = settings_.shard_count;
    options.seed = seed;
    node.core = std::make_unique<gateway::gateway_core>(options);
}

void world::start_engine(engine_node& node, std::uint64_t seed) {
    stand_ins::engine_settings options = settings_.engine;
    options.name = node.name;
    options.seed = seed;
    node.leaving = false;
    node.core = std::make_unique<stand_ins::engine_core>(options, prefill_, local_now(node));
}

void world::start_service(service_node& node, std::uint64_t seed) {
    stand_ins::service_settings options;
    options.name = node.name;
    options.seed = seed;
    options.hang_share =
        node.kind == scheduling::backend_kind::tool ? settings_.tool_hang_share : 0.0;
    node.leaving = false;
    node.core = std::make_unique<stand_ins::service_core>(options, node.disk);
}

void world::tick_loop(const std::string& name, std::uint64_t generation) {
    node_base& node = *nodes_.at(name);
    if (!node.alive || node.generation != generation) {
        return;
    }
    if (!node.frozen) {
        tick_node(name);
    }
    events_.after(tick_interval, [this, name, generation] { tick_loop(name, generation); });
}

void world::tick_node(const std::string& name) {
    node_base& base = *nodes_.at(name);
    const instant now = local_now(base);
    if (auto* control = dynamic_cast<control_node*>(&base)) {
        control->core->tick(now);
        pump_control(*control);
    } else if (auto* scheduler = dynamic_cast<scheduler_node*>(&base)) {
        scheduler->core->tick(now);
        pump_scheduler(*scheduler);
    } else if (auto* gateway = dynamic_cast<gateway_node*>(&base)) {
        gateway->core->tick(now);
        pump_gateway(*gateway);
    }
}

void world::run_on(const std::string& name, std::function<void()> action) {
    node_base& node = *nodes_.at(name);
    if (!node.alive) {
        return;
    }
    if (node.frozen) {
        node.backlog.push_back(std::move(action));
        return;
    }
    action();
}

void world::kill(const std::string& name) {
    trace_line("kill " + name);
    node_base& node = *nodes_.at(name);
    if (!node.alive) {
        return;
    }
    if (auto* engine = dynamic_cast<engine_node*>(&node)) {
        for (const auto& [key, reader] : engine->readers) {
            report_to(reader.first, reader.second, name,
                      scheduler::attempt_failed{key, scheduler::failure_kind::broken});
        }
        dead_node_entries_.insert(dead_node_entries_.end(), engine->core->entries().begin(),
                                  engine->core->entries().end());
    }
    if (auto* service = dynamic_cast<service_node*>(&node)) {
        for (const auto& [key, reader] : service->readers) {
            report_to(reader.first, reader.second, name,
                      scheduler::attempt_failed{key, scheduler::failure_kind::broken});
        }
        service->disk = service->core->record();
        dead_node_entries_.insert(dead_node_entries_.end(), service->core->entries().begin(),
                                  service->core->entries().end());
    }
    node.alive = false;
    node.frozen = false;
    node.backlog.clear();
    node.forget();
    close_connections_of(name);
}

void world::restart(const std::string& name) {
    trace_line("restart " + name);
    if (!nodes_.at(name)->alive) {
        start_node(name);
    }
}

void world::lose_disk(const std::string& name) {
    trace_line("lose the disk of " + name);
    trace_replicas();
    kill(name);
    auto& node = node_as<control_node>(name);
    node.disk.clear();
    node.identity = random_.next() | 1U;
}

void world::freeze(const std::string& name) {
    trace_line("freeze " + name);
    nodes_.at(name)->frozen = true;
}

void world::thaw(const std::string& name) {
    trace_line("thaw " + name);
    node_base& node = *nodes_.at(name);
    if (!node.alive || !node.frozen) {
        return;
    }
    node.frozen = false;
    std::vector<std::function<void()>> backlog;
    std::swap(backlog, node.backlog);
    for (auto& action : backlog) {
        action();
    }
    if (auto* engine = dynamic_cast<engine_node*>(&node)) {
        wake_engine(*engine, events_.now());
    }
}

}  // namespace tallyfold::sim
