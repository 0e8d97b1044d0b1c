#pragma once
/// @file
/// Classes of the two first users' deployments, as their operators would submit them.

#include <map>
#include <string>

#include "stand_ins/program_script.hpp"
#include "tallyfold/program_api/configuration/types.hpp"

namespace tallyfold::stand_ins {

/// Classes by name; their policy is the deployment's shipped one ("huayin" or "hobart").
std::map<std::string, configuration::class_settings> default_classes(deployment profile);

}  // namespace tallyfold::stand_ins
