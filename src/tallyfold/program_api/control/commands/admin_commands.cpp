#include "tallyfold/program_api/control/commands/admin_commands.hpp"

#include <charconv>
#include <nlohmann/json.hpp>

#include "tallyfold/scheduling/policy.hpp"

namespace tallyfold::control {

using configuration::json_error;
using configuration::json_result;

json_result<admin_change> parse_admin_change(const std::string& body,
                                             const std::string& operator_name) {
    auto command = configuration::parse_change(body);
    if (!command) {
        return tl::unexpected(command.error());
    }
    command->operator_name = operator_name;
    if (std::string reason = configuration::validate(*command); !reason.empty()) {
        return tl::unexpected(json_error{std::move(reason)});
    }
    const auto* policy = std::get_if<configuration::policy_source>(&command->body);
    if (policy != nullptr && !command->remove) {
        const auto compiled = scheduling::policy::compile(policy->text);
        if (!compiled) {
            return tl::unexpected(json_error{"line " + std::to_string(compiled.error().line) +
                                             ": " + compiled.error().reason});
        }
    }
    return admin_change{std::move(*command)};
}

json_result<consensus::membership> parse_initial_membership(const std::string& body) {
    try {
        consensus::membership members;
        const auto parsed = nlohmann::json::parse(body);
        for (const auto& entry : parsed.at("members")) {
            const std::string digits = entry.at("replica").get<std::string>();
            consensus::replica_id replica = consensus::no_replica;
            const auto number =
                std::from_chars(digits.data(), digits.data() + digits.size(), replica);
            if (number.ptr != digits.data() + digits.size() || replica == consensus::no_replica) {
                return tl::unexpected(json_error{"'replica' must be a number other than 0"});
            }
            members.members[replica] = {entry.at("node").get<std::string>(), false};
        }
        return members;
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(json_error{failure.what()});
    }
}

}  // namespace tallyfold::control
