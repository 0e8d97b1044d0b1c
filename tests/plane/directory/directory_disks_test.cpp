/// @file
/// Acknowledged configurations survive the losses of disks that a deployment tolerates, also when
/// these come one after the other.

#include "tests/support/directory_disks.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class directory_disks_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(directory_disks_test);
    CPPUNIT_TEST(a_node_with_a_new_disk_joins_while_no_seed_leads);
    CPPUNIT_TEST(acknowledged_configurations_survive_tolerated_losses);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t tolerated = 2;

    static duration between(random_source& random, int low, int high) {
        return std::chrono::milliseconds(random.between(low, high));
    }

    /// Guards against a directory that never replaces lost voters: a node with an empty disk knows
    /// only the seeds, which may all be followers.
    void a_node_with_a_new_disk_joins_while_no_seed_leads() {
        directory_disks world(5, tolerated, 1);
        world.run(std::chrono::seconds(6));
        for (int tries = 0; tries < 100 && world.is_seed(*world.leader()); ++tries) {
            world.lose_power(*world.leader(), std::chrono::milliseconds(500));
            world.run(std::chrono::seconds(3));
            CPPUNIT_ASSERT(world.leader().has_value());
        }
        CPPUNIT_ASSERT(!world.is_seed(*world.leader()));
        world.lose_disk(0, std::chrono::seconds(1));
        world.lose_disk(1, std::chrono::seconds(1));
        world.run(std::chrono::seconds(1) + directory_disks::catch_up_time);
        CPPUNIT_ASSERT(!world.is_seed(*world.leader()));
        CPPUNIT_ASSERT(world.is_voter(0));
        CPPUNIT_ASSERT(world.is_voter(1));
    }

    /// A random fault that leaves no more machines lost than are tolerated.
    static void draw_fault(directory_disks& world) {
        random_source& random = world.random();
        const std::size_t number = random.below(world.size());
        const std::uint64_t kind = random.below(5);
        if (!world.is_lost(number) && world.lost_count() >= tolerated) {
            return;
        }
        if (kind <= 1) {
            world.lose_disk(number, between(random, 100, 2'000));
        } else if (kind == 2) {
            world.lose_power(number, between(random, 100, 3'000));
        } else if (kind == 3) {
            world.freeze(number, between(random, 100, 4'000));
        } else if (!world.is_cut()) {
            std::vector<bool> side(world.size());
            side[number] = true;
            world.cut(side, between(random, 500, 5'000));
        }
    }

    /// As many disks as are tolerated are lost, and all machines lose power.
    static void apply_final_fault(directory_disks& world) {
        constexpr duration outage = std::chrono::seconds(1);
        random_source& random = world.random();
        while (world.lost_disk_count() < tolerated) {
            world.lose_disk(random.below(world.size()), outage);
        }
        for (std::size_t number = 0; number < world.size(); ++number) {
            world.lose_power(number, outage);
        }
    }

    void acknowledged_configurations_survive_tolerated_losses() {
        constexpr std::uint64_t runs = 60;
        for (std::uint64_t run = 1; run <= runs; ++run) {
            directory_disks world(5, tolerated, run * 7919);
            world.run(std::chrono::seconds(6));
            random_source& random = world.random();
            const auto steps = random.between(10, 3'000);
            for (int count = 0; count < steps; ++count) {
                if (random.chance(0.01)) {
                    draw_fault(world);
                }
                if (random.chance(0.1)) {
                    world.change_configuration();
                }
                world.step();
            }
            const auto acknowledged = world.acknowledged();
            apply_final_fault(world);
            world.run(std::chrono::seconds(12));
            const std::string what = "run " + std::to_string(run) + ": " + world.describe();
            CPPUNIT_ASSERT_MESSAGE(what, world.version_in_force().has_value());
            CPPUNIT_ASSERT_MESSAGE(what, *world.version_in_force() >= acknowledged);
            CPPUNIT_ASSERT_MESSAGE(what, world.smallest_quorum() > tolerated);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_disks_test);

}  // namespace tallyfold::tests
