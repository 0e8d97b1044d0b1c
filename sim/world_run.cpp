/// @file
/// A simulated run from boot to the checkers' input; operators; queries for fault plans.

#include <algorithm>

#include "sim/world.hpp"
#include "sim/world_nodes.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration boot_limit = std::chrono::seconds(20);

}  // namespace

// --- boot, run, finish ---------------------------------------------------------------------

bool world::boot() {
    if (!form_cluster()) {
        return false;
    }
    const std::uint64_t changes = submit_configuration();
    const instant limit = events_.now() + boot_limit;
    while (!gateways_ready(changes)) {
        if (!events_.step(limit)) {
            return false;
        }
    }
    seen_.started = events_.now();
    start_callers();
    return true;
}

bool world::form_cluster() {
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
    return true;
}

std::uint64_t world::submit_configuration() {
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
    return number;
}

bool world::gateways_ready(configuration::configuration_version version) {
    for (const std::string& name : names("gateway-")) {
        const auto& node = node_as<gateway_node>(name);
        const auto& session = node.core->session();
        if (!node.core->ready(events_.now()) || session.configuration().version() < version ||
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
}

void world::start_callers() {
    const auto scripts = stand_ins::make_workload(settings_.workload);
    for (std::size_t index = 0; index < scripts.size(); ++index) {
        stand_ins::caller_core::settings options;
        options.run = "run" + std::to_string(settings_.seed) + "-";
        callers_.push_back(std::make_unique<stand_ins::caller_core>(
            options, scripts[index], "c" + std::to_string(index), program_id{}, program_id{}));
        stand_ins::caller_core* caller = callers_.back().get();
        events_.after(scripts[index].start, [this, caller] {
            caller->start(events_.now());
            pump_callers();
        });
    }
    events_.after(tick_interval, [this] { caller_loop(); });
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
    gather_histories();
    gather_held_tokens();
    return seen_;
}

void world::gather_histories() {
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
}

void world::gather_held_tokens() {
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
}

void world::gather_ledger() {
    seen_.ledger = dead_node_entries_;
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
    // Sends to a random control node; retries with the same identity until a response arrives.
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

// --- queries for fault plans ---------------------------------------------------------------

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

}  // namespace tallyfold::sim
