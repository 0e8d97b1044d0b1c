#pragma once
/// @file
/// Settings of each program of the program API, read from a file and validated. The forwarding
/// plane's counterpart is plane/process/node_settings; both read files with base/settings.

#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "tallyfold/base/settings/settings_reader.hpp"
#include "tallyfold/program_api/control/control_core.hpp"
#include "tallyfold/program_api/gateway/gateway_core.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::settings {

using node_addresses = std::vector<std::pair<node_name, std::string>>;
template <class Settings>
using settings_result = tl::expected<Settings, std::vector<settings_problem>>;

struct gateway_process {
    gateway::gateway_settings core;
    std::string http_listen;
    std::string key_file;
    node_addresses control;
    std::size_t largest_body = 0;
};

struct scheduler_process {
    scheduler::scheduler_settings core;
    /// Listening address for internal messages; core.address is the one that gateways connect to.
    std::string listen;
    std::string http_listen;
    std::string key_file;
    node_addresses control;
    /// Address of the platform's membership list, "ip:port".
    std::string members_address;
};

struct control_process {
    control::control_settings core;
    std::string listen;
    std::string http_listen;
    std::string key_file;
    /// File with one operator per line: name, role and key.
    std::string operator_file;
    std::string data_folder;
    node_addresses control;
};

settings_result<gateway_process> read_gateway(const std::string& file);
settings_result<scheduler_process> read_scheduler(const std::string& file);
settings_result<control_process> read_control(const std::string& file);

/// All setting keys of a program: "gateway", "scheduler" or "control".
std::vector<std::string> all_keys(const std::string& program);

}  // namespace tallyfold::settings
