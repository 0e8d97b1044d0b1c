/// @file
/// Format negotiation over real connections, also with a peer of the first build, which sends no
/// offer and closes the connection on an unknown kind of message.

#include "tallyfold/plane/messaging/format_negotiation.hpp"

#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <cstring>

#include "tallyfold/base/net/socket_address.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace messaging;
using protocol::format_version;

class format_negotiation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(format_negotiation_test);
    CPPUNIT_TEST(offer_is_encodable_in_first_format);
    CPPUNIT_TEST(store_reply_is_not_an_offer);
    CPPUNIT_TEST(both_sides_use_newest_common_format);
    CPPUNIT_TEST(newer_peer_uses_newest_common_format);
    CPPUNIT_TEST(link_and_server_negotiate_format);
    CPPUNIT_TEST(peer_without_offer_gets_first_format);
    CPPUNIT_TEST(third_format_peer_gets_no_dispatch_messages);
    CPPUNIT_TEST(skips_undecodable_frame);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* address = "127.0.99.7:17178";

    void offer_is_encodable_in_first_format() {
        for (int known = 1; known < 256; ++known) {
            const format_offer offer{static_cast<format_number>(known), 1};
            const auto bytes = protocol::encode_as(to_message(offer), format_version::v1);
            CPPUNIT_ASSERT(bytes.has_value());
            const auto read = decode_payload(*bytes, format_version::v1);
            CPPUNIT_ASSERT(read.has_value());
            CPPUNIT_ASSERT(parse_offer(*read) == offer);
        }
    }

    void store_reply_is_not_an_offer() {
        check_property("a reply to an operation is not an offer",
                       [](std::uint64_t operation, std::uint64_t store) {
                           turns::find_reply reply;
                           reply.operation = operation | 1U;
                           reply.store = store;
                           RC_ASSERT(!parse_offer(reply));
                       });
        CPPUNIT_ASSERT(!parse_offer(turns::find_reply{}));
        CPPUNIT_ASSERT(!parse_offer(directory::node_report{}));
    }

    void both_sides_use_newest_common_format() {
        format_negotiation caller;
        format_negotiation server;
        const auto answer = server.receive(caller.initial_offer());
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT(server.send_format() == protocol::newest_format);
        CPPUNIT_ASSERT(server.receive_format() == format_version::v1);
        const auto last = caller.receive(*answer);
        CPPUNIT_ASSERT(last.has_value());
        CPPUNIT_ASSERT(!server.receive(*last).has_value());
        for (const format_negotiation* side : {&caller, &server}) {
            CPPUNIT_ASSERT(side->send_format() == protocol::newest_format);
            CPPUNIT_ASSERT(side->receive_format() == protocol::newest_format);
            CPPUNIT_ASSERT(side->common_format() == protocol::newest_format);
        }
    }

    static constexpr auto newest_number = static_cast<format_number>(protocol::newest_format);

    void newer_peer_uses_newest_common_format() {
        format_negotiation server;
        const auto answer = server.receive({9, 1});
        CPPUNIT_ASSERT(answer == (format_offer{newest_number, newest_number}));
        CPPUNIT_ASSERT(server.common_format() == protocol::newest_format);
        CPPUNIT_ASSERT(!server.receive({9, newest_number}).has_value());
    }

    /// Runs the loop until no event occurs for `idle_time`.
    static void run(asio::io_context& loop) {
        // Well above the latency of a loopback connection.
        constexpr std::chrono::milliseconds idle_time{100};
        loop.restart();
        while (loop.run_for(idle_time) > 0) {
            loop.restart();
        }
    }

    void link_and_server_negotiate_format() {
        asio::io_context loop;
        peer_server server(loop, address);
        int reports = 0;
        CPPUNIT_ASSERT_EQUAL(std::string{}, server.start([&](const channel_pointer& channel,
                                                             const peer_message& message) {
            const auto& report = std::get<directory::node_report>(message);
            reports += report.question == 7 ? 1 : 0;
            CPPUNIT_ASSERT(channel->peer_format() == protocol::newest_format);
            channel->send(directory::configuration_part{});
        }));
        int parts = 0;
        const auto link = std::make_shared<peer_link>(loop, address);
        link->start(
            [&](const peer_message& message) {
                parts += std::holds_alternative<directory::configuration_part>(message) ? 1 : 0;
            },
            nullptr);
        run(loop);
        CPPUNIT_ASSERT(link->peer_format() == protocol::newest_format);
        directory::node_report report;
        report.question = 7;
        link->send(report);
        run(loop);
        CPPUNIT_ASSERT_EQUAL(1, reports);
        CPPUNIT_ASSERT_EQUAL(1, parts);
        link->stop();
    }

    /// Payloads of all frames received so far.
    static std::vector<std::string> received(asio::ip::tcp::socket& socket) {
        std::string bytes(socket.available(), '\0');
        asio::read(socket, asio::buffer(bytes));
        std::vector<std::string> payloads;
        for (std::size_t at = 0; at < bytes.size();) {
            std::uint32_t length = 0;
            std::memcpy(&length, bytes.data() + at, sizeof(length));
            payloads.push_back(bytes.substr(at + frame_header_size, length));
            at += frame_header_size + length;
        }
        return payloads;
    }

    void peer_without_offer_gets_first_format() {
        asio::io_context loop;
        peer_server server(loop, address);
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             server.start([](const channel_pointer& channel, const peer_message&) {
                                 CPPUNIT_ASSERT(channel->peer_format() == format_version::v1);
                                 channel->send(directory::configuration_part{});
                                 channel->send(tenants::permit_answer{});
                                 directory::node_report_answer answer;
                                 answer.configuration = 48;
                                 answer.question = 7;
                                 channel->send(answer);
                             }));
        asio::ip::tcp::socket node(loop);
        node.connect(*net::parse_endpoint(address));
        const auto frame = encode_frame(directory::node_report{}, format_version::v1);
        asio::write(node, asio::buffer(*frame));
        run(loop);
        const std::vector<std::string> payloads = received(node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, payloads.size());
        const auto answer = decode_payload(payloads.front(), format_version::v1);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{48},
                             std::get<directory::node_report_answer>(*answer).configuration);
    }

    /// Guards against messages that the peer's build has to pass over, on a connection of either
    /// direction.
    void third_format_peer_gets_no_dispatch_messages() {
        asio::io_context loop;
        peer_server server(loop, address);
        CPPUNIT_ASSERT_EQUAL(std::string{},
                             server.start([&](const channel_pointer& channel, const peer_message&) {
                                 CPPUNIT_ASSERT(channel->peer_format() == format_version::v3);
                                 channel->send(dispatch::place_answer{});
                                 channel->send(dispatch::place_renewal{});
                                 channel->send(directory::evacuation_status{7, {}});
                             }));
        asio::ip::tcp::socket node(loop);
        node.connect(*net::parse_endpoint(address));
        const auto offer = encode_frame(to_message({3, 3}), format_version::v1);
        const auto report = encode_frame(directory::node_report{}, format_version::v3);
        asio::write(node, asio::buffer(*offer + *report));
        run(loop);
        const std::vector<std::string> payloads = received(node);
        // The server's own offer comes first.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, payloads.size());
        const auto status = decode_payload(payloads.back(), format_version::v3);
        CPPUNIT_ASSERT(status.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                             std::get<directory::evacuation_status>(*status).revision);
    }

    void skips_undecodable_frame() {
        asio::io_context loop;
        peer_server server(loop, address);
        int requests = 0;
        CPPUNIT_ASSERT_EQUAL(
            std::string{}, server.start([&](const channel_pointer&, const peer_message& message) {
                requests += std::holds_alternative<turns::history_request>(message) ? 1 : 0;
            }));
        asio::ip::tcp::socket node(loop);
        node.connect(*net::parse_endpoint(address));
        std::string unknown = encode_frame(turns::history_request{1, "turn"});
        unknown[frame_header_size] = 99;
        asio::write(node, asio::buffer(unknown));
        asio::write(node, asio::buffer(encode_frame(turns::history_request{2, "turn"})));
        run(loop);
        CPPUNIT_ASSERT_EQUAL(1, requests);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(format_negotiation_test);

}  // namespace tallyfold::tests
