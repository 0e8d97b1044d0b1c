#include "sim/policy_files.hpp"
#include "sim/run.hpp"
#include "tests/support/source_root.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

/// Regression test for seeds that violated a property. A seed's schedule changes with the code,
/// so each cause also has a test of its own.
class found_failures_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(found_failures_test);
    CPPUNIT_TEST(formerly_failing_seeds_pass);
    CPPUNIT_TEST(runs_are_deterministic_per_seed);
    CPPUNIT_TEST_SUITE_END();

    static std::map<std::string, std::string> policies() {
        return sim::read_policies(source_root() + "/policies");
    }

    void formerly_failing_seeds_pass() {
        for (const std::uint64_t seed :
             {6,   48,  62,  92,  162, 212, 282,   325,   392,   482,  513,
              524, 561, 617, 667, 673, 678, 11554, 21255, 21564, 21867}) {
            const sim::run_result result = sim::run_with_faults(seed, policies());
            for (const auto& [name, violations] : result.violations) {
                CPPUNIT_FAIL("seed " + std::to_string(seed) + " " + name + ": " +
                             violations.front());
            }
        }
    }

    void runs_are_deterministic_per_seed() {
        std::vector<std::string> first;
        std::vector<std::string> second;
        (void)sim::run_with_faults(13, policies(),
                                   [&](const std::string& line) { first.push_back(line); });
        (void)sim::run_with_faults(13, policies(),
                                   [&](const std::string& line) { second.push_back(line); });
        CPPUNIT_ASSERT(!first.empty());
        CPPUNIT_ASSERT(first == second);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(found_failures_test);

}  // namespace tallyfold::tests
