#pragma once
/// @file
/// Parsing and validation of requests to the administration API.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/program_api/configuration/json_codec.hpp"
#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

/// Parses a change and checks everything that doesn't depend on the current configuration; policies
/// are compiled and run once on sample inputs.
configuration::json_result<admin_change> parse_admin_change(const std::string& body,
                                                            const std::string& operator_name);

/// Parses the membership that initialises a cluster.
configuration::json_result<consensus::membership> parse_initial_membership(const std::string& body);

}  // namespace tallyfold::control
