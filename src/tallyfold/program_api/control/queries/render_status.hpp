#pragma once
/// @file
/// Cluster status of a control node for operators: JSON for tools, and an HTML page.

#include <string>

#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

std::string render_status_json(const control_status& status, const node_name& node);
/// Read-only page without scripts.
std::string render_status_page(const control_status& status, const node_name& node);

}  // namespace tallyfold::control
