#pragma once
/// @file
/// Reads the shipped policies from their folder.

#include <fstream>
#include <iterator>
#include <map>
#include <string>

namespace tallyfold::sim {

/// Policy sources by name: "huayin" and "hobart".
inline std::map<std::string, std::string> read_policies(const std::string& folder) {
    std::map<std::string, std::string> policies;
    for (const std::string name : {"huayin", "hobart"}) {
        std::ifstream file(folder + "/" + name + ".lua");
        policies[name] = std::string((std::istreambuf_iterator<char>(file)), {});
    }
    return policies;
}

}  // namespace tallyfold::sim
