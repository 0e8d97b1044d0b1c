#pragma once
/// @file
/// Default program classes of the two supported deployment profiles.

#include <map>
#include <string>

#include "stand_ins/program_script.hpp"
#include "tallyfold/program_api/configuration/types.hpp"

namespace tallyfold::stand_ins {

/// Classes by name. Each uses the shipped policy of the deployment ("huayin" or "hobart").
std::map<std::string, configuration::class_settings> default_classes(deployment profile);

}  // namespace tallyfold::stand_ins
