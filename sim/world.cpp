#include "sim/world.hpp"

#include <algorithm>

#include "sim/world_nodes.hpp"
#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration sync_time = std::chrono::microseconds(900);
/// A connection that passes nothing for this long is given up by both ends.
constexpr duration silence_limit = std::chrono::milliseconds(1200);
constexpr duration silence_check = std::chrono::milliseconds(100);
constexpr duration reset_delay = std::chrono::milliseconds(2);
constexpr duration sample_interval = std::chrono::milliseconds(250);
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
    events_.after(silence_check, [this] { watch_silence(); });
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

// --- life of nodes -------------------------------------------------------------------------

void world::start_node(const std::string& name) {
    node_base& base = *nodes_.at(name);
    base.alive = true;
    base.frozen = false;
    base.backlog.clear();
    ++base.generation;
    const instant now = local_now(base);
    const std::uint64_t seed = combine_hash(settings_.seed, stable_hash(name, base.generation));
    if (auto* control = dynamic_cast<control_node*>(&base)) {
        control::control_settings options;
        options.node = name;
        options.journal_groups = settings_.journal_groups;
        options.shard_count = settings_.shard_count;
        options.peers = names("control-");
        options.snapshot_interval = settings_.snapshot_interval;
        options.seed = seed;
        consensus::recovered_node recovered;
        recovered.identity = control->identity;
        for (const auto& [group, durable] : control->disk) {
            recovered.groups[group] = durable.state();
        }
        control->core = std::make_unique<control::control_core>(options, recovered, now);
        control->admin.clear();
    } else if (auto* scheduler = dynamic_cast<scheduler_node*>(&base)) {
        scheduler::scheduler_settings options;
        options.node = name;
        options.address = name;
        options.zone = zone_names[0];
        options.control_nodes = names("control-");
        options.journal_groups = settings_.journal_groups;
        options.shard_count = settings_.shard_count;
        options.seed = seed;
        scheduler->core = std::make_unique<scheduler::scheduler_core>(options, now);
    } else if (auto* gateway = dynamic_cast<gateway_node*>(&base)) {
        gateway::gateway_settings options;
        options.node = name;
        options.control_nodes = names("control-");
        options.shard_count = settings_.shard_count;
        options.seed = seed;
        gateway->core = std::make_unique<gateway::gateway_core>(options);
    } else if (auto* engine = dynamic_cast<engine_node*>(&base)) {
        stand_ins::engine_settings options = settings_.engine;
        options.name = name;
        options.seed = seed;
        engine->leaving = false;
        engine->core = std::make_unique<stand_ins::engine_core>(options, prefill_, now);
    } else if (auto* service = dynamic_cast<service_node*>(&base)) {
        stand_ins::service_settings options;
        options.name = name;
        options.seed = seed;
        options.hang_share =
            service->kind == scheduling::backend_kind::tool ? settings_.tool_hang_share : 0.0;
        service->leaving = false;
        service->core = std::make_unique<stand_ins::service_core>(options, service->disk);
    }
    const bool ticks = dynamic_cast<engine_node*>(&base) == nullptr &&
                       dynamic_cast<service_node*>(&base) == nullptr;
    if (ticks) {
        tick_loop(name, base.generation);
    }
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
        old_entries_.insert(old_entries_.end(), engine->core->entries().begin(),
                            engine->core->entries().end());
    }
    if (auto* service = dynamic_cast<service_node*>(&node)) {
        for (const auto& [key, reader] : service->readers) {
            report_to(reader.first, reader.second, name,
                      scheduler::attempt_failed{key, scheduler::failure_kind::broken});
        }
        service->disk = service->core->record();
        old_entries_.insert(old_entries_.end(), service->core->entries().begin(),
                            service->core->entries().end());
    }
    node.alive = false;
    node.frozen = false;
    node.backlog.clear();
    node.forget();
    notify_lost(name);
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

void world::tell_lost(const std::string& name, const std::string& dead) {
    auto* gateway = dynamic_cast<gateway_node*>(nodes_.at(name).get());
    if (gateway == nullptr || !gateway->alive) {
        return;
    }
    const std::uint64_t generation = gateway->generation;
    events_.after(reset_delay, [this, name, dead, generation] {
        auto& target = node_as<gateway_node>(name);
        if (target.generation != generation || !network_.passes(dead, name)) {
            return;
        }
        run_on(name, [this, name, dead] {
            auto& woken = node_as<gateway_node>(name);
            woken.core->peer_lost(dead, local_now(woken));
            pump_gateway(woken);
        });
    });
}

void world::notify_lost(const std::string& dead) {
    for (const std::string& name : names("gateway-")) {
        tell_lost(name, dead);
    }
    // Callers see their connection break when a gateway dies.
    for (auto& [token, request] : requests_) {
        // A request that is still on its way will find no listener instead.
        if (request.gateway == dead && request.generation != 0) {
            const stand_ins::caller_token lost = token;
            const std::size_t caller = request.caller;
            events_.after(reset_delay, [this, lost, caller] {
                requests_.erase(lost);
                callers_[caller]->on_disconnected(lost, events_.now());
            });
        }
    }
    // Engines see their readers go.
    for (const auto& [name, node] : nodes_) {
        if (auto* engine = dynamic_cast<engine_node*>(node.get()); engine && engine->core) {
            for (const auto& [key, reader] : engine->readers) {
                if (reader.first == dead) {
                    engine->core->detach(key, events_.now());
                }
            }
        }
    }
}

void world::watch_silence() {
    events_.after(silence_check, [this] { watch_silence(); });
    const instant now = events_.now();
    for (const std::string& gateway : names("gateway-")) {
        for (const std::string& scheduler : names("scheduler-")) {
            const auto link = std::make_pair(gateway, scheduler);
            const bool silent = frozen(scheduler) || !network_.passes(scheduler, gateway) ||
                                !network_.passes(gateway, scheduler);
            if (!silent || !alive(gateway) || frozen(gateway)) {
                silent_since_.erase(link);
                lost_told_.erase(link);
                continue;
            }
            const auto since = silent_since_.try_emplace(link, now).first->second;
            if (now - since > silence_limit && lost_told_.insert(link).second) {
                auto& node = node_as<gateway_node>(gateway);
                node.core->peer_lost(scheduler, local_now(node));
                pump_gateway(node);
            }
        }
    }
}

// --- messages between nodes ----------------------------------------------------------------

void world::transmit(const std::string& from, const std::string& to,
                     protocol::internal_message message) {
    if (!nodes_.contains(to)) {
        return;
    }
    trace_message(from, to, message);
    if (!alive(to) && network_.passes(to, from)) {
        // The connection is refused, and the sender's transport says so.
        tell_lost(from, to);
    }
    const bool replica = std::holds_alternative<consensus::replica_message>(message);
    if (network_.chaotic() && replica && network_.random().chance(0.05)) {
        deliver(from, to, message);
    }
    deliver(from, to, std::move(message));
}

void world::deliver(const std::string& from, const std::string& to,
                    protocol::internal_message message) {
    if (!network_.passes(from, to)) {
        return;
    }
    instant arrival = events_.now() + network_.delay(from, to);
    const bool replica = std::holds_alternative<consensus::replica_message>(message);
    if (network_.chaotic() && replica) {
        arrival += duration(network_.random().between(0, 20'000));
    } else {
        instant& earliest = link_order_[{from, to}];
        arrival = std::max(arrival, earliest);
        earliest = arrival;
    }
    const std::uint64_t generation = nodes_.at(to)->generation;
    events_.at(arrival, [this, from, to, generation, message = std::move(message)]() mutable {
        if (nodes_.at(to)->generation != generation || !network_.passes(from, to)) {
            return;
        }
        run_on(to, [this, from, to, message = std::move(message)] {
            node_base& base = *nodes_.at(to);
            const instant now = local_now(base);
            if (auto* control = dynamic_cast<control_node*>(&base)) {
                control->core->receive(from, message, now);
                pump_control(*control);
            } else if (auto* scheduler = dynamic_cast<scheduler_node*>(&base)) {
                scheduler->core->receive(from, message, now);
                pump_scheduler(*scheduler);
            } else if (auto* gateway = dynamic_cast<gateway_node*>(&base)) {
                gateway->core->receive(from, message, now);
                pump_gateway(*gateway);
            }
        });
    });
}

void world::pump_control(control_node& node) {
    control::control_output output = node.core->take_output();
    for (protocol::outbound_message& message : output.messages) {
        transmit(node.name, message.to, std::move(message.message));
    }
    for (const control::admin_reply& reply : output.admin_replies) {
        const auto found = node.admin.find(reply.token);
        if (found == node.admin.end()) {
            continue;
        }
        const std::size_t record = found->second;
        node.admin.erase(found);
        if (reply.status == control::admin_status::done) {
            // The answer travels to the operator; it may get lost on the way.
            events_.after(network_.delay(node.name, node.name), [this, record, reply] {
                operator_record& known = seen_.operators[record];
                if (!known.result.has_value() && !random_.chance(0.1)) {
                    known.result = reply.change;
                    known.accepted_at = events_.now();
                }
            });
        }
    }
    if (!output.batch.has_value()) {
        return;
    }
    const std::uint64_t generation = node.generation;
    const std::string name = node.name;
    events_.after(sync_time, [this, name, generation, batch = std::move(*output.batch)]() mutable {
        auto& woken = node_as<control_node>(name);
        if (!woken.alive || woken.generation != generation) {
            return;  // It died before the sync: nothing of the batch is on the disk.
        }
        for (const consensus::group_write& write : batch.writes) {
            woken.disk[write.group].apply(write);
        }
        run_on(name, [this, name, batch = std::move(batch)]() mutable {
            auto& synced = node_as<control_node>(name);
            for (protocol::outbound_message& message : batch.messages_after) {
                transmit(name, message.to, std::move(message.message));
            }
            synced.core->persisted(batch.number);
            pump_control(synced);
        });
    });
}

void world::pump_scheduler(scheduler_node& node) {
    scheduler::scheduler_output output = node.core->take_output();
    for (protocol::outbound_message& message : output.messages) {
        transmit(node.name, message.to, std::move(message.message));
    }
    for (const scheduler::backend_order& order : output.orders) {
        send_order(node, order);
    }
}

// --- faults on links and clocks ------------------------------------------------------------

void world::cut(const std::string& from, const std::string& to, bool both_ways) {
    trace_line("cut " + from + " -> " + to + (both_ways ? " and back" : ""));
    network_.cut(from, to);
    if (both_ways) {
        network_.cut(to, from);
    }
}

void world::heal_links() {
    trace_line("heal links");
    network_.heal_all();
}
void world::slow(const std::string& node, duration extra) {
    network_.slow(node, extra);
}
void world::set_chaotic(bool chaotic) {
    network_.set_chaotic(chaotic);
}

void world::jump_clock(const std::string& node, duration ahead) {
    nodes_.at(node)->clock_ahead += ahead;
}

void world::drain(const std::string& name) {
    run_on(name, [this, name] {
        node_base& base = *nodes_.at(name);
        if (auto* scheduler = dynamic_cast<scheduler_node*>(&base)) {
            scheduler->core->drain();
        } else if (auto* gateway = dynamic_cast<gateway_node*>(&base)) {
            gateway->core->drain();
        }
    });
}

}  // namespace tallyfold::sim
