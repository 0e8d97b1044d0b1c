#pragma once
/// @file
/// What a control node knows of the cluster, for operators: JSON for tools, one page for people.

#include <string>

#include "tallyfold/program_api/control/control_core.hpp"

namespace tallyfold::control {

std::string render_status_json(const control_status& status, const node_name& node);
/// A read-only page without scripts.
std::string render_status_page(const control_status& status, const node_name& node);

}  // namespace tallyfold::control
