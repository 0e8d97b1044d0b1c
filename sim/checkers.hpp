#pragma once
/// @file
/// Checkers of a finished run. Each reads only what callers, operators and back ends recorded.

#include <functional>
#include <string>
#include <vector>

#include "sim/world.hpp"

namespace tallyfold::sim {

/// An invariant and the checker that detects its violations.
struct property {
    /// Stable name, also used on the command line and in the documentation.
    std::string name;
    /// The invariant as one sentence.
    std::string statement;
    /// Kinds of faults that can violate it.
    std::vector<std::string> faults;
    /// Unit test suites of its mechanism.
    std::string tests;
    /// Scenarios of scripts/fault that check it; empty for none.
    std::string scenarios;
    /// @return one line for each violation, with the program, attempt or change that it concerns
    std::function<std::vector<std::string>(const observations&)> check;
};

/// All invariants, in the order in which they are reported.
const std::vector<property>& properties();

}  // namespace tallyfold::sim
