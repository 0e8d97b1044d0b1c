#include "platform/replica_list.hpp"
#include "tallyfold/plane/discovery/list_poller_shell.hpp"
#include "tests/plane/forwarding/endless_server.hpp"
#include "tests/plane/forwarding/verbatim_backend.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class list_poller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(list_poller_test);
    CPPUNIT_TEST(a_page_without_end_is_given_up_at_its_size_limit);
    CPPUNIT_TEST(a_malformed_page_is_no_list);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a page that replaces the last good list although its answer is malformed.
    void a_malformed_page_is_no_list() {
        settings::node_settings settings;
        settings.node = "directory";
        net::node_process process(settings);
        const std::string page = R"({"Instances":[]})";
        const auto answer = [&](const std::string& start, const std::string& field) {
            return start + "\r\nContent-Length: " + std::to_string(page.size()) + "\r\n" + field +
                   "\r\n" + page;
        };
        const std::string sound_start = "HTTP/1.1 200 OK";
        verbatim_backend server(process.loop(),
                                {answer(sound_start, ""), answer("HTTP/1.1 0200 OK", ""),
                                 answer(sound_start, "X Bad: 1\r\n"),
                                 answer(sound_start, "\rX-Bad: 1\r\n"), answer(sound_start, "")});
        settings.backend_list_address = server.address();
        net::node_process polling(settings);
        const platform::replica_list codec;
        discovery::list_poller poller(polling, codec);
        std::vector<std::size_t> requests_at_list;
        poller.start(
            [&](const discovery::polled_list&) {
                requests_at_list.push_back(server.requests());
                return std::string{};
            },
            [] { return true; });
        const instant end = steady_now() + std::chrono::seconds(20);
        while (requests_at_list.size() < 2 && steady_now() < end) {
            for (net::node_process* each : {&process, &polling}) {
                each->loop().restart();
                each->loop().run_one_for(std::chrono::milliseconds(1));
            }
        }
        CPPUNIT_ASSERT(requests_at_list == std::vector<std::size_t>({1, 5}));
    }

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
