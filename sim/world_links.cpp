/// @file
/// Links of the simulated world: messages between nodes, connection failures, partitions, delays,
/// clock jumps.

#include <algorithm>

#include "sim/world.hpp"
#include "sim/world_nodes.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration sync_time = std::chrono::microseconds(900);
/// Idle time after which both ends close a connection.
constexpr duration silence_limit = std::chrono::milliseconds(1200);
constexpr duration reset_delay = std::chrono::milliseconds(2);

}  // namespace

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
            auto& target_node = node_as<gateway_node>(name);
            target_node.core->peer_lost(dead, local_now(target_node));
            pump_gateway(target_node);
        });
    });
}

void world::close_connections_of(const std::string& dead) {
    for (const std::string& name : names("gateway-")) {
        tell_lost(name, dead);
    }
    // Callers of a dead gateway lose their connection.
    for (auto& [token, request] : requests_) {
        // A request still in transit (generation 0) is refused on arrival instead.
        if (request.gateway == dead && request.generation != 0) {
            const stand_ins::caller_token lost = token;
            const std::size_t caller = request.caller;
            events_.after(reset_delay, [this, lost, caller] {
                requests_.erase(lost);
                callers_[caller]->on_disconnected(lost, events_.now());
            });
        }
    }
    // Engines detach the streams that the dead node was reading.
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

void world::check_idle_links() {
    events_.after(link_check_interval, [this] { check_idle_links(); });
    const instant now = events_.now();
    for (const std::string& gateway : names("gateway-")) {
        for (const std::string& scheduler : names("scheduler-")) {
            const auto link = std::make_pair(gateway, scheduler);
            const bool silent = frozen(scheduler) || !network_.passes(scheduler, gateway) ||
                                !network_.passes(gateway, scheduler);
            if (!silent || !alive(gateway) || frozen(gateway)) {
                blocked_since_.erase(link);
                reported_lost_links_.erase(link);
                continue;
            }
            const auto since = blocked_since_.try_emplace(link, now).first->second;
            if (now - since > silence_limit && reported_lost_links_.insert(link).second) {
                auto& node = node_as<gateway_node>(gateway);
                node.core->peer_lost(scheduler, local_now(node));
                pump_gateway(node);
            }
        }
    }
}

void world::transmit(const std::string& from, const std::string& to,
                     protocol::internal_message message) {
    if (!nodes_.contains(to)) {
        return;
    }
    trace_message(from, to, message);
    if (!alive(to) && network_.passes(to, from)) {
        // The connection is refused; the sender's transport reports it.
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
        answer_operator(node, reply);
    }
    if (output.batch.has_value()) {
        sync_later(node, std::move(*output.batch));
    }
}

void world::answer_operator(control_node& node, const control::admin_reply& reply) {
    const auto found = node.admin.find(reply.token);
    if (found == node.admin.end()) {
        return;
    }
    const std::size_t record = found->second;
    node.admin.erase(found);
    if (reply.status != control::admin_status::done) {
        return;
    }
    // The response to the operator can be lost in transit.
    events_.after(network_.delay(node.name, node.name), [this, record, reply] {
        operator_record& known = seen_.operators[record];
        if (!known.result.has_value() && !random_.chance(0.1)) {
            known.result = reply.change;
            known.accepted_at = events_.now();
        }
    });
}

void world::sync_later(const control_node& node, control::storage_batch written) {
    const std::uint64_t generation = node.generation;
    const std::string name = node.name;
    events_.after(sync_time, [this, name, generation, batch = std::move(written)]() mutable {
        auto& target_node = node_as<control_node>(name);
        if (!target_node.alive || target_node.generation != generation) {
            return;  // The node died before the sync; nothing of the batch is durable.
        }
        for (const consensus::group_write& write : batch.writes) {
            target_node.disk[write.group].apply(write);
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
