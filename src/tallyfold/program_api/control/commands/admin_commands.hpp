#pragma once
/// @file
/// The operators' commands as the administration API takes them.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/program_api/configuration/json_codec.hpp"
#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

/// A change that passed every check which needs no knowledge of the current configuration;
/// policies are compiled and run once on sample inputs.
configuration::json_result<admin_change> parse_admin_change(const std::string& body,
                                                            const std::string& operator_name);

/// The membership that forms a cluster.
configuration::json_result<consensus::membership> parse_initial_membership(const std::string& body);

}  // namespace tallyfold::control
