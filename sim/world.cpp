#include "sim/world.hpp"

#include <algorithm>

#include "sim/world_nodes.hpp"
#include "tallyfold/common/hash.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration tick_interval = std::chrono::milliseconds(10);
constexpr duration sync_time = std::chrono::microseconds(900);
/// A connection that passes nothing for this long is given up by both ends.
constexpr duration silence_limit = std::chrono::milliseconds(1200);
constexpr duration silence_check = std::chrono::milliseconds(100);
constexpr duration reset_delay = std::chrono::milliseconds(2);
constexpr duration sample_interval = std::chrono::milliseconds(250);
constexpr duration boot_limit = std::chrono::seconds(20);
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
        options.placement = settings_.strategy;
        options.stream_stall = settings_.stream_stall;
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
            synced.core->persisted(batch.number, local_now(synced));
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

void world::pump_gateway(gateway_node& node) {
    gateway::gateway_output output = node.core->take_output();
    for (protocol::outbound_message& message : output.messages) {
        transmit(node.name, message.to, std::move(message.message));
    }
    const std::uint64_t generation = node.generation;
    const auto to_caller = [&](stand_ins::caller_token token, auto&& action) {
        instant arrival = events_.now() + network_.delay(node.name, "caller");
        instant& earliest = link_order_[{node.name, "caller"}];
        arrival = std::max(arrival, earliest);
        earliest = arrival;
        events_.at(arrival, [this, token, generation, action] {
            const auto found = requests_.find(token);
            if (found != requests_.end() && found->second.generation == generation) {
                action(*callers_[found->second.caller]);
            }
        });
    };
    for (const gateway::client_pieces& pieces : output.pieces) {
        to_caller(pieces.token, [this, pieces](stand_ins::caller_core& caller) {
            caller.on_pieces(pieces.token, pieces.pieces, events_.now());
        });
    }
    for (const gateway::client_answer& answer : output.answers) {
        to_caller(answer.token, [this, answer](stand_ins::caller_core&) {
            answer_caller(answer.token, answer.result);
        });
    }
}

// --- callers -------------------------------------------------------------------------------

void world::answer_caller(stand_ins::caller_token token, const journal::outcome& result) {
    const auto found = requests_.find(token);
    const std::size_t caller = found->second.caller;
    requests_.erase(found);
    callers_[caller]->on_answer(token, result, events_.now());
    pump_callers();
}

void world::send_request(const stand_ins::caller_action& action) {
    const std::vector<std::string> gateways = names("gateway-");
    const std::string& gateway = gateways[next_gateway_++ % gateways.size()];
    requests_.at(action.token).gateway = gateway;
    const stand_ins::caller_token token = action.token;
    events_.after(network_.delay("caller", gateway), [this, gateway, action, token] {
        const auto request = requests_.find(token);
        if (request == requests_.end()) {
            return;
        }
        node_base& base = *nodes_.at(gateway);
        if (!base.alive) {
            const std::size_t caller = request->second.caller;
            requests_.erase(request);
            callers_[caller]->on_refused(token, events_.now());
            return;
        }
        request->second.generation = base.generation;
        run_on(gateway, [this, gateway, action] {
            auto& node = node_as<gateway_node>(gateway);
            node.core->submit(action.token, action.call, local_now(node));
            pump_gateway(node);
        });
    });
}

void world::pump_callers() {
    for (std::size_t index = 0; index < callers_.size(); ++index) {
        for (const stand_ins::caller_action& action : callers_[index]->take_actions()) {
            requests_[action.token] = {{}, 0, index};
            send_request(action);
        }
    }
}

void world::caller_loop() {
    for (auto& caller : callers_) {
        if (!caller->done()) {
            caller->tick(events_.now());
        }
    }
    pump_callers();
    if (!callers_done()) {
        events_.after(tick_interval, [this] { caller_loop(); });
    }
}

bool world::callers_done() const {
    return std::all_of(callers_.begin(), callers_.end(),
                       [](const auto& caller) { return caller->done(); });
}

// --- boot, run, finish ---------------------------------------------------------------------

bool world::boot() {
    consensus::membership members;
    for (const std::string& name : names("control-")) {
        members.members[node_as<control_node>(name).identity] = {name, false};
    }
    for (const std::string& name : names("control-")) {
        auto& node = node_as<control_node>(name);
        if (!node.core->initialise(members)) {
            return false;
        }
        pump_control(node);
    }
    std::uint64_t number = 0;
    const auto submit = [&](configuration::item_key key, configuration::item_body body) {
        configuration::change_command command;
        command.command_identity = "boot-" + std::to_string(++number);
        command.operator_name = "boot";
        command.key = std::move(key);
        command.body = std::move(body);
        submit_change(std::move(command));
    };
    for (const std::string& tenant : stand_ins::tenants_of(settings_.workload.profile)) {
        submit({configuration::item_kind::tenant, tenant}, settings_.tenant);
    }
    for (const auto& [name, text] : settings_.policies) {
        submit({configuration::item_kind::policy, name}, configuration::policy_source{text});
    }
    for (const auto& [name, settings] : settings_.classes) {
        submit({configuration::item_kind::program_class, name}, settings);
    }
    const instant limit = events_.now() + boot_limit;
    const auto ready = [&] {
        for (const std::string& name : names("gateway-")) {
            const auto& node = node_as<gateway_node>(name);
            const auto& session = node.core->session();
            if (!node.core->ready(events_.now()) || session.configuration().version() < number ||
                session.schedulers().size() < settings_.schedulers) {
                return false;
            }
            for (shard_id shard = 0; shard < settings_.shard_count; ++shard) {
                if (session.lease_of(shard).holder.empty()) {
                    return false;
                }
            }
        }
        return true;
    };
    while (!ready()) {
        if (!events_.step(limit)) {
            return false;
        }
    }
    seen_.started = events_.now();
    const auto scripts = stand_ins::make_workload(settings_.workload);
    for (std::size_t index = 0; index < scripts.size(); ++index) {
        stand_ins::caller_core::settings options;
        options.run = "run" + std::to_string(settings_.seed) + "-";
        options.patience = settings_.caller_patience;
        callers_.push_back(std::make_unique<stand_ins::caller_core>(
            options, scripts[index], "c" + std::to_string(index), program_id{}, program_id{}));
        stand_ins::caller_core* caller = callers_.back().get();
        events_.after(scripts[index].start, [this, caller] {
            caller->start(events_.now());
            pump_callers();
        });
    }
    events_.after(tick_interval, [this] { caller_loop(); });
    return true;
}

void world::run() {
    const instant limit = seen_.started + settings_.limit;
    while (!callers_done()) {
        if (!events_.step(limit)) {
            return;
        }
    }
    seen_.finished = true;
}

observations world::finish() {
    trace_replicas();
    heal_links();
    set_chaotic(false);
    for (const auto& [name, node] : nodes_) {
        thaw(name);
        restart(name);
    }
    seen_.ended = events_.now();
    const instant limit = events_.now() + settings_.settle;
    while (events_.step(limit)) {
    }
    gather_ledger();
    for (const auto& caller : callers_) {
        seen_.callers.push_back(caller->report());
    }
    const std::string leader = leader_of(configuration_group);
    for (const std::string& name : names("control-")) {
        const auto& node = node_as<control_node>(name);
        if (name == leader) {
            seen_.final_configuration = node.core->configuration();
        }
        for (group_id group = 1; group <= settings_.journal_groups; ++group) {
            if (leader_of(group) != name) {
                continue;
            }
            for (const auto& [shard, entry] : node.core->journal(group).shards()) {
                for (const auto& [id, program] : entry.programs.programs()) {
                    seen_.histories[id] = program.history;
                }
            }
        }
    }
    for (const auto& report : seen_.callers) {
        for (const auto& [program, ended] : report.members) {
            for (const std::string& name : names("engine-")) {
                const auto& engine = node_as<engine_node>(name);
                const token_count held = engine.core ? engine.core->cached_tokens_of(program) : 0;
                if (held > 0) {
                    seen_.held_after_end[program] += held;
                }
            }
        }
    }
    seen_.prefilled = prefill_->prefilled();
    seen_.rebuilt = prefill_->rebuilt();
    return seen_;
}

void world::gather_ledger() {
    seen_.ledger = old_entries_;
    for (const auto& [name, node] : nodes_) {
        const std::vector<stand_ins::ledger_entry>* entries = nullptr;
        if (auto* engine = dynamic_cast<engine_node*>(node.get()); engine && engine->core) {
            entries = &engine->core->entries();
        } else if (auto* service = dynamic_cast<service_node*>(node.get());
                   service && service->core) {
            entries = &service->core->entries();
        }
        if (entries != nullptr) {
            seen_.ledger.insert(seen_.ledger.end(), entries->begin(), entries->end());
        }
    }
    std::sort(seen_.ledger.begin(), seen_.ledger.end(), [](const auto& left, const auto& right) {
        return std::tie(left.started, left.key) < std::tie(right.started, right.key);
    });
}

// --- operators and configuration -----------------------------------------------------------

void world::submit_change(configuration::change_command command) {
    seen_.operators.push_back({std::move(command), std::nullopt, {}});
    operator_loop(seen_.operators.size() - 1);
}

void world::operator_loop(std::size_t record) {
    if (seen_.operators[record].result.has_value()) {
        return;
    }
    // Asks a random control node; repeats with the same identity until an answer arrives.
    const std::vector<std::string> controls = names("control-");
    const std::string& name = controls[random_.below(controls.size())];
    run_on(name, [this, name, record] {
        auto& node = node_as<control_node>(name);
        const std::uint64_t token = random_.next();
        node.admin[token] = record;
        node.core->request(token, control::admin_change{seen_.operators[record].command},
                           local_now(node));
        pump_control(node);
    });
    events_.after(std::chrono::milliseconds(random_.between(150, 400)),
                  [this, record] { operator_loop(record); });
}

configuration::configuration_version world::accepted_version() const {
    configuration::configuration_version newest = 0;
    for (const operator_record& record : seen_.operators) {
        if (record.result && record.result->status == configuration::change_status::accepted) {
            newest = std::max(newest, record.result->version);
        }
    }
    return newest;
}

void world::sample_configuration() {
    events_.after(sample_interval, [this] { sample_configuration(); });
    for (const auto& [name, node] : nodes_) {
        if (!node->alive || node->frozen) {
            continue;
        }
        configuration_sample sample{name, events_.now(), 0, false};
        if (auto* gateway = dynamic_cast<gateway_node*>(node.get())) {
            sample.version = gateway->core->session().configuration().version();
            sample.serving = gateway->core->session().configuration_fresh(local_now(*gateway));
        } else if (auto* scheduler = dynamic_cast<scheduler_node*>(node.get())) {
            const scheduler::scheduler_gauges gauges =
                scheduler->core->gauges(local_now(*scheduler));
            sample.version = gauges.configuration;
            sample.serving = gauges.configuration_fresh;
        } else {
            continue;
        }
        seen_.configuration.push_back(sample);
    }
    const bool serves = control_serves();
    if (!serves && leaderless_since_ == instant{}) {
        leaderless_since_ = events_.now();
    } else if (serves && leaderless_since_ != instant{}) {
        seen_.leader_gaps.push_back(events_.now() - leaderless_since_);
        leaderless_since_ = {};
    }
}

// --- views for fault plans -----------------------------------------------------------------

std::string world::leader_of(group_id group) const {
    std::string leader;
    consensus::term_number newest = 0;
    for (const auto& [name, node] : nodes_) {
        const auto* control = dynamic_cast<const control_node*>(node.get());
        if (control == nullptr || !control->core) {
            continue;
        }
        const consensus::replica_fsm& replica = control->core->replica(group);
        if (replica.role() == consensus::replica_role::leader && replica.term() > newest) {
            newest = replica.term();
            leader = name;
        }
    }
    return leader;
}

bool world::control_serves() const {
    for (group_id group = 0; group <= settings_.journal_groups; ++group) {
        const std::string leader = leader_of(group);
        if (leader.empty() || frozen(leader)) {
            return false;
        }
        const auto& node = dynamic_cast<const control_node&>(*nodes_.at(leader));
        if (!node.core->replica(group).has_committed_in_term()) {
            return false;
        }
    }
    return true;
}

bool world::is_voter_everywhere(const std::string& name) const {
    const auto& target = dynamic_cast<const control_node&>(*nodes_.at(name));
    for (group_id group = 0; group <= settings_.journal_groups; ++group) {
        const std::string leader = leader_of(group);
        if (leader.empty()) {
            return false;
        }
        const auto& node = dynamic_cast<const control_node&>(*nodes_.at(leader));
        const consensus::replica_fsm& replica = node.core->replica(group);
        const auto& members = replica.members_at(replica.commit_index());
        if (!members.is_voter(target.identity) || members.voter_count() < settings_.controls) {
            return false;
        }
    }
    return true;
}

bool world::drained(const std::string& name) const {
    const node_base& base = *nodes_.at(name);
    if (const auto* scheduler = dynamic_cast<const scheduler_node*>(&base)) {
        return scheduler->core && scheduler->core->drained();
    }
    if (const auto* gateway = dynamic_cast<const gateway_node*>(&base)) {
        return gateway->core && gateway->core->drained();
    }
    return false;
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
            scheduler->core->drain(local_now(base));
        } else if (auto* gateway = dynamic_cast<gateway_node*>(&base)) {
            gateway->core->drain();
        }
    });
}

}  // namespace tallyfold::sim
