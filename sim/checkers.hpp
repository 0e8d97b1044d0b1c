#pragma once
/// @file
/// Judges of a finished run. Each reads what callers, operators and back ends saw.

#include <functional>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace tallyfold::sim {

/// One point of what must always hold.
struct property {
    /// Stable name, as in docs/INVARIANTS.md.
    std::string name;
    /// The point in the users' words' sense.
    std::string statement;
    /// Kinds of faults that concern it.
    std::vector<std::string> faults;
    /// Suites that test its mechanism, and scenarios of scripts/fault that judge it; empty for
    /// none.
    std::string tests;
    std::string scenarios;
    /// Violations found, each with enough to find it again.
    std::function<std::vector<std::string>(const observations&)> check;
};

/// The ten points, in the order of the brief.
const std::vector<property>& properties();

}  // namespace tallyfold::sim
