/// @file
/// Callers of the simulated world: requests to gateways and their responses.

#include <algorithm>

#include "sim/world.hpp"
#include "sim/world_nodes.hpp"

namespace tallyfold::sim {

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

}  // namespace tallyfold::sim
