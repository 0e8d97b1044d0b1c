/// @file
/// Guards against routes that are missing on a forwarder after the change was acknowledged:
/// - answers to reports must not grow with the configuration, or they delay heartbeats and cause
///   elections;
/// - a lagging directory node must not confirm that a forwarder's version is the newest.

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/messaging/peer_message.hpp"
#include "tests/support/directory_group.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

class configuration_spread_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_spread_test);
    CPPUNIT_TEST(lagging_node_gives_no_proof);
    CPPUNIT_TEST(answer_size_is_independent_of_configuration_size);
    CPPUNIT_TEST_SUITE_END();

    static routing::configuration make_configuration(routing::configuration_version version,
                                                     std::size_t count) {
        routing::configuration made;
        made.version = version;
        made.services.push_back({"service-a", "/health", 10, false, 0, 0, 1});
        for (std::size_t number = 0; number < count; ++number) {
            routing::route route;
            route.name = "r" + std::to_string(number);
            route.host = "h" + std::to_string(number) + ".example";
            route.prefix = "/a/";
            route.timeout_ms = 1'000;
            route.services.push_back({"service-a", 1});
            made.routes.push_back(std::move(route));
        }
        return made;
    }

    /// A forwarder's report that holds `version` and asks whether it is the newest.
    static node_report report_with_question(routing::configuration_version version) {
        node_report report;
        report.node = "forwarder";
        report.configuration = version;
        report.question = 7;
        return report;
    }

    void lagging_node_gives_no_proof() {
        directory_group group(3);
        const node_name leader = group.run_until_led();
        CPPUNIT_ASSERT(!leader.empty());
        CPPUNIT_ASSERT(group.change(leader, make_configuration(1, 3)));
        const node_name lagging = group.followers().front();
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1},
                             group.node(lagging).state().configuration().version);
        group.cut(lagging);
        CPPUNIT_ASSERT(group.change(leader, make_configuration(2, 4)));
        const node_report_answer answer =
            group.node(lagging).receive(report_with_question(1), group.now());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, answer.configuration);
        // Returning the question would prove that no newer version had been acknowledged.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, answer.question);
    }

    void answer_size_is_independent_of_configuration_size() {
        directory_group group(1);
        const node_name leader = group.run_until_led();
        CPPUNIT_ASSERT(group.change(leader, make_configuration(1, 4'000)));
        CPPUNIT_ASSERT(group.change(leader, make_configuration(2, 6'000)));
        constexpr std::size_t max_bytes = 1'000;
        const node_report_answer answer =
            group.node(leader).receive(report_with_question(1), group.now());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{2}, answer.configuration);
        CPPUNIT_ASSERT(messaging::encode_frame(answer).size() <= max_bytes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_spread_test);

}  // namespace tallyfold::tests
