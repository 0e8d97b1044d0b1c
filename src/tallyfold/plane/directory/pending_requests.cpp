#include "tallyfold/plane/directory/pending_requests.hpp"

#include <algorithm>

namespace tallyfold::directory {

namespace {

std::optional<request_token> take(std::map<std::uint64_t, request_token>& waiting,
                                  std::uint64_t number) {
    const auto found = waiting.find(number);
    if (found == waiting.end()) {
        return std::nullopt;
    }
    const request_token token = found->second;
    waiting.erase(found);
    return token;
}

}  // namespace

bool pending_requests::has_own_command() const {
    return std::any_of(commands_.begin(), commands_.end(), [](const auto& entry) {
        return entry.second.token == leader_command_token;
    });
}

std::set<node_name> pending_requests::nodes_to_retire() const {
    std::set<node_name> nodes;
    for (const auto& [index, command] : commands_) {
        if (!command.retired_node.empty()) {
            nodes.insert(command.retired_node);
        }
    }
    return nodes;
}

std::optional<directory_answer> pending_requests::on_applied(consensus::log_index index,
                                                             consensus::term_number term) {
    const auto waiting = commands_.find(index);
    if (waiting == commands_.end()) {
        return std::nullopt;
    }
    const pending_command command = waiting->second;
    commands_.erase(waiting);
    if (command.token == leader_command_token) {
        return std::nullopt;
    }
    const bool is_same_entry = command.term == term;
    return directory_answer{
        command.token, is_same_entry ? answer_kind::done : answer_kind::unknown, {}};
}

std::optional<request_token> pending_requests::take_read(read_number number) {
    return take(reads_, number);
}

std::optional<request_token> pending_requests::take_proof(read_number number) {
    return take(proofs_, number);
}

std::vector<request_token> pending_requests::take_commands() {
    std::vector<request_token> tokens;
    for (const auto& [index, command] : commands_) {
        if (command.token != leader_command_token) {
            tokens.push_back(command.token);
        }
    }
    commands_.clear();
    return tokens;
}

}  // namespace tallyfold::directory
