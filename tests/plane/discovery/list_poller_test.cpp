#include "platform/replica_list.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tests/plane/forwarding/endless_server.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class list_poller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(list_poller_test);
    CPPUNIT_TEST(a_page_without_end_is_given_up_at_its_size_limit);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a page that fills the node's memory until its time limit.
    void a_page_without_end_is_given_up_at_its_size_limit() {
        settings::node_settings settings;
        settings.node = "directory";
        net::node_process process(settings);
        endless_server server(process.loop(),
                              "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{",
                              std::string(16'000, ' '));
        settings.backend_list_address = server.address();
        net::node_process polling(settings);
        const platform::replica_list codec;
        discovery::list_poller poller(polling, codec);
        poller.start([](const discovery::polled_list&) { return std::string{}; },
                     [] { return true; });
        const instant end = steady_now() + std::chrono::seconds(5);
        while ((server.requests() == 0 || server.open_connections() > 0) && steady_now() < end) {
            for (net::node_process* each : {&process, &polling}) {
                each->loop().restart();
                each->loop().run_one_for(std::chrono::milliseconds(1));
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, server.requests());
        CPPUNIT_ASSERT_EQUAL(0, server.open_connections());
        // The page's limit and what the sockets buffer.
        constexpr std::size_t most_sent = 16U << 20U;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(server.sent_bytes()),
                               server.sent_bytes() < most_sent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(list_poller_test);

}  // namespace tallyfold::tests
