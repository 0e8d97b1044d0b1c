#pragma once
/// @file
/// The settings of each program of the program API, read and checked. docs/CONFIGURATION.md lists
/// every key. The forwarding plane's programs have settings of their own,
/// plane/process/node_settings; both read files with base/settings.

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
    /// Where internal messages are accepted; core.address is what gateways are told.
    std::string listen;
    std::string http_listen;
    std::string key_file;
    node_addresses control;
    /// URL of the platform's membership list.
    std::string members_address;
};

struct control_process {
    control::control_settings core;
    std::string listen;
    std::string http_listen;
    std::string key_file;
    /// Role and key of each operator, one pair a line.
    std::string operator_file;
    std::string data_folder;
    node_addresses control;
};

settings_result<gateway_process> read_gateway(const std::string& file);
settings_result<scheduler_process> read_scheduler(const std::string& file);
settings_result<control_process> read_control(const std::string& file);

/// Every key of the three programs, for the documentation test.
std::vector<std::string> all_keys(const std::string& program);

}  // namespace tallyfold::settings
