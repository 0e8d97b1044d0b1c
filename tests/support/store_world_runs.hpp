#pragma once
/// @file
/// Runs the store simulation with many seeds and checks its guarantees.

#include <string>
#include <vector>

#include "tests/support/store_world.hpp"

namespace tallyfold::tests {

/// Event counts over all seeds, and the number of runs that violated a guarantee.
struct run_totals {
    int wipes = 0;
    int crashes = 0;
    int retired = 0;
    int adopted = 0;
    int refused = 0;
    int broken = 0;
    int power_losses = 0;
    int wipes_in_change = 0;
    std::size_t settled = 0;
    std::string first_broken;
};

inline run_totals run_worlds(std::size_t machines, std::uint64_t seeds, injected_defect fault,
                             disk_losses losses = disk_losses::one_at_a_time,
                             std::uint32_t losses_borne = 1) {
    run_totals sum;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        store_world world(seed, machines, fault, losses, losses_borne);
        world.run(6000);
        const bool serves = world.serves_new_programs();
        const std::vector<std::string> lost = world.lost_turns();
        sum.power_losses += world.power_losses();
        sum.wipes_in_change += world.wipes_in_change();
        sum.wipes += world.wipes();
        sum.crashes += world.crashes();
        sum.retired += world.retired();
        sum.adopted += world.forwarder().adopted();
        sum.refused += world.forwarder().refused();
        sum.settled += world.forwarder().settled().size();
        if (!serves || !lost.empty() || world.forwarder().false_unknowns() > 0 ||
            world.forwarder().overdrawn() > 0) {
            ++sum.broken;
            sum.first_broken = "seed " + std::to_string(seed) +
                               (serves ? " serves" : " refuses new programs") + ", lost " +
                               std::to_string(lost.size()) + ", false unknowns " +
                               std::to_string(world.forwarder().false_unknowns()) + ", overdrawn " +
                               std::to_string(world.forwarder().overdrawn());
        }
    }
    return sum;
}

}  // namespace tallyfold::tests
