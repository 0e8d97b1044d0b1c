/// @file
/// Back ends of the simulated world: orders from schedulers, reports to schedulers, leaving.

#include <algorithm>

#include "sim/world.hpp"
#include "sim/world_nodes.hpp"
#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration refused_delay = std::chrono::milliseconds(1);
/// Delay until a leaving back end shows in the membership list.
constexpr duration list_lag = std::chrono::milliseconds(1500);
constexpr const char* list_name = "members";

}  // namespace

scheduler::members_answered world::member_list() const {
    scheduler::members_answered list;
    for (const auto& [name, node] : nodes_) {
        scheduling::backend_member member;
        member.name = name;
        member.zone = "zone-a";
        member.address = name;
        const auto leaving = leave_listed_at_.find(name);
        member.leaving = leaving != leave_listed_at_.end() && leaving->second <= events_.now();
        if (dynamic_cast<const engine_node*>(node.get()) != nullptr) {
            member.kind = scheduling::backend_kind::engine;
            member.variant = settings_.engine.model;
            member.slots = settings_.engine.batch_limit;
        } else if (const auto* service = dynamic_cast<const service_node*>(node.get())) {
            member.kind = service->kind;
            member.slots = 16;
        } else {
            continue;
        }
        list.members.push_back(std::move(member));
    }
    return list;
}

void world::report_to(const std::string& name, std::uint64_t generation, const std::string& backend,
                      scheduler::backend_report report) {
    if (!network_.passes(backend, name)) {
        return;
    }
    instant arrival = events_.now() + network_.delay(backend, name);
    instant& earliest = link_order_[{backend, name}];
    arrival = std::max(arrival, earliest);
    earliest = arrival;
    events_.at(arrival, [this, name, generation, report = std::move(report)] {
        if (nodes_.at(name)->generation != generation) {
            return;
        }
        run_on(name, [this, name, report] {
            auto& node = node_as<scheduler_node>(name);
            node.core->report(report, local_now(node));
            pump_scheduler(node);
        });
    });
}

void world::send_order(scheduler_node& from, const scheduler::backend_order& order) {
    const backend_name target = scheduler::target_of(order);
    if (const auto key = scheduler::attempt_of(order)) {
        trace_line(from.name + " -> " + target + ": order " + std::to_string(order.index()) +
                   " for " + key->text());
    }
    const std::string name = from.name;
    const std::uint64_t generation = from.generation;
    if (target.empty()) {
        const auto list = member_list();
        report_to(name, generation, list_name, list);
        return;
    }
    if (!nodes_.contains(target)) {
        return;
    }
    if (const auto* request = std::get_if<scheduler::run_request>(&order)) {
        schedule_request_timeout(name, generation, *request);
    }
    if (!network_.passes(name, target)) {
        return;
    }
    instant arrival = events_.now() + network_.delay(name, target);
    instant& earliest = link_order_[{name, target}];
    arrival = std::max(arrival, earliest);
    earliest = arrival;
    events_.at(arrival, [this, name, generation, target, order] {
        deliver_order(name, generation, target, order);
    });
}

void world::schedule_request_timeout(const std::string& name, std::uint64_t generation,
                                     const scheduler::run_request& request) {
    // As the scheduler's process shell does, reports a failure at the timeout in any case.
    const scheduler::attempt_key key = request.key;
    events_.after(request.timeout, [this, name, generation, key] {
        if (nodes_.at(name)->generation != generation) {
            return;
        }
        run_on(name, [this, name, key] {
            auto& node = node_as<scheduler_node>(name);
            node.core->report(scheduler::attempt_failed{key, scheduler::failure_kind::broken},
                              local_now(node));
            pump_scheduler(node);
        });
    });
}

void world::deliver_order(const std::string& name, std::uint64_t generation,
                          const std::string& target, const scheduler::backend_order& order) {
    if (!nodes_.at(target)->alive) {
        fail_order(name, generation, target, order);
        return;
    }
    run_on(target, [this, name, generation, target, order] {
        node_base& target_node = *nodes_.at(target);
        if (auto* engine = dynamic_cast<engine_node*>(&target_node)) {
            on_engine_order(*engine, order, name, generation);
        } else if (auto* service = dynamic_cast<service_node*>(&target_node)) {
            on_service_order(*service, order, name, generation);
        }
    });
}

void world::fail_order(const std::string& name, std::uint64_t generation,
                       const std::string& backend, const scheduler::backend_order& order) {
    constexpr bool handed_over = false;
    if (const auto report = scheduler::report_no_answer(order, handed_over)) {
        events_.after(refused_delay, [this, name, generation, backend, report = *report] {
            report_to(name, generation, backend, report);
        });
    }
}

void world::on_engine_order(engine_node& node, const scheduler::backend_order& order,
                            const std::string& name, std::uint64_t generation) {
    const instant now = events_.now();
    stand_ins::engine_core& core = *node.core;
    if (const auto* start = std::get_if<scheduler::start_stream>(&order)) {
        const auto started = core.start(*start, now);
        if (started) {
            node.readers[start->key] = {name, generation};
        } else {
            const bool leaving = started.error() == stand_ins::engine_refusal::leaving;
            report_to(
                name, generation, node.name,
                scheduler::attempt_failed{start->key, leaving ? scheduler::failure_kind::leaving
                                                              : scheduler::failure_kind::refused});
        }
    } else if (const auto* resume = std::get_if<scheduler::resume_stream>(&order)) {
        if (core.resume(*resume, now)) {
            node.readers[resume->key] = {name, generation};
        } else {
            report_to(
                name, generation, node.name,
                scheduler::attempt_failed{resume->key, scheduler::failure_kind::unknown_stream});
        }
    } else if (const auto* cancel = std::get_if<scheduler::cancel_stream>(&order)) {
        core.cancel(cancel->key, now);
        node.readers.erase(cancel->key);
    } else if (const auto* retain = std::get_if<scheduler::retain_cache>(&order)) {
        core.retain(*retain, now);
    } else if (const auto* release = std::get_if<scheduler::release_cache>(&order)) {
        for (const program_id& program : release->programs) {
            core.release(program, now);
        }
        report_to(name, generation, node.name,
                  scheduler::release_confirmed{node.name, release->programs});
    } else if (const auto* poll = std::get_if<scheduler::poll_status>(&order)) {
        report_to(name, generation, node.name, core.status(poll->after_event, now));
    }
    wake_engine(node, now);
    pump_engine(node);
}

void world::wake_engine(engine_node& node, instant at) {
    const instant next = node.core->idle() ? instant::max() : node.core->tick(at);
    pump_engine(node);
    if (next == instant::max() || (node.wake_at > events_.now() && node.wake_at <= next)) {
        return;
    }
    node.wake_at = next;
    const std::string name = node.name;
    const std::uint64_t generation = node.generation;
    events_.at(next, [this, name, generation, next] {
        auto& target_node = node_as<engine_node>(name);
        if (target_node.generation != generation || target_node.frozen ||
            target_node.wake_at != next) {
            return;
        }
        wake_engine(target_node, events_.now());
    });
}

void world::pump_engine(engine_node& node) {
    for (scheduler::backend_report& report : node.core->take_reports()) {
        const auto key = std::visit(
            [](const auto& body) -> std::optional<scheduler::attempt_key> {
                using body_type = std::decay_t<decltype(body)>;
                if constexpr (std::is_same_v<body_type, scheduler::stream_pieces> ||
                              std::is_same_v<body_type, scheduler::stream_finished> ||
                              std::is_same_v<body_type, scheduler::attempt_failed>) {
                    return body.key;
                } else {
                    return std::nullopt;
                }
            },
            report);
        const auto reader = key ? node.readers.find(*key) : node.readers.end();
        if (reader != node.readers.end()) {
            const bool last = !std::holds_alternative<scheduler::stream_pieces>(report);
            report_to(reader->second.first, reader->second.second, node.name, std::move(report));
            if (last) {
                node.readers.erase(reader);
            }
        }
    }
}

void world::on_service_order(service_node& node, const scheduler::backend_order& order,
                             const std::string& name, std::uint64_t generation) {
    const instant now = events_.now();
    stand_ins::service_core& core = *node.core;
    if (const auto* run = std::get_if<scheduler::run_request>(&order)) {
        const auto started = core.run(*run, now);
        if (started) {
            node.readers[run->key] = {name, generation};
        } else {
            const bool leaving = started.error() == stand_ins::service_refusal::leaving;
            report_to(
                name, generation, node.name,
                scheduler::attempt_failed{run->key, leaving ? scheduler::failure_kind::leaving
                                                            : scheduler::failure_kind::refused});
        }
    } else if (const auto* seal = std::get_if<scheduler::seal_request>(&order)) {
        report_to(name, generation, node.name, core.seal(seal->key));
    } else if (std::holds_alternative<scheduler::poll_status>(order)) {
        report_to(name, generation, node.name, core.status(now));
    }
    node.disk = core.record();
    wake_service(node, now);
}

void world::wake_service(service_node& node, instant at) {
    const instant next = node.core->tick(at);
    pump_service(node);
    if (node.core->idle()) {
        return;
    }
    const std::string name = node.name;
    const std::uint64_t generation = node.generation;
    events_.at(next, [this, name, generation] {
        auto& target_node = node_as<service_node>(name);
        if (target_node.generation == generation && target_node.alive) {
            wake_service(target_node, events_.now());
        }
    });
}

void world::pump_service(service_node& node) {
    for (scheduler::backend_report& report : node.core->take_reports()) {
        const auto* answered = std::get_if<scheduler::request_answered>(&report);
        const auto reader =
            answered == nullptr ? node.readers.end() : node.readers.find(answered->key);
        if (reader != node.readers.end()) {
            const auto [name, generation] = reader->second;
            node.readers.erase(reader);
            report_to(name, generation, node.name, std::move(report));
        }
    }
}

void world::leave(const std::string& backend) {
    seen_.leaving[backend] = events_.now();
    leave_listed_at_[backend] = events_.now() + list_lag;
    if (auto* engine = dynamic_cast<engine_node*>(nodes_.at(backend).get())) {
        engine->leaving = true;
        if (engine->core) {
            engine->core->leave();
        }
    } else if (auto* service = dynamic_cast<service_node*>(nodes_.at(backend).get())) {
        service->leaving = true;
        if (service->core) {
            service->core->leave();
        }
    }
}

}  // namespace tallyfold::sim
