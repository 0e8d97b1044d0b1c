/// @file
/// Guards against a request that is lost at a planned stop: its bytes were read, and its connection
/// was then closed as idle, so that it was forwarded but could not be answered.

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "tallyfold/plane/http/connection_shell.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace http;

class connection_wait_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(connection_wait_test);
    CPPUNIT_TEST(request_read_before_stop_can_be_answered);
    CPPUNIT_TEST(request_that_arrived_before_stop_is_read);
    CPPUNIT_TEST(idle_wait_ends_at_stop);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t max_head_bytes = 1'000;

    /// A server's connection and the client's end of it.
    struct socket_pair {
        explicit socket_pair(asio::io_context& loop) : client(loop) {
            asio::ip::tcp::acceptor acceptor(
                loop, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            client.connect(acceptor.local_endpoint());
            server = std::make_shared<connection>(acceptor.accept(), message_kind::request,
                                                  max_head_bytes);
        }
        asio::ip::tcp::socket client;
        connection_pointer server;
    };

    struct wait_result {
        bool ended = false;
        bool has_message = false;
        bool is_open = false;
    };

    static void start_wait(asio::io_context& loop, const connection_pointer& server,
                           wait_result& result) {
        const auto wait = [server, &result]() -> asio::awaitable<void> {
            const auto waited =
                co_await server->wait_for_message(steady_now() + std::chrono::seconds(10));
            result = {true, waited.has_value(), server->open()};
        };
        asio::co_spawn(loop, wait, asio::detached);
        loop.poll();
    }

    void request_read_before_stop_can_be_answered() {
        asio::io_context loop;
        socket_pair sockets(loop);
        // The previous request's watch is still registered. It completes first, and the completion
        // of the read is queued behind the timer.
        sockets.server->notify_on_close([] {});
        sockets.server->cancel_close_notification();
        wait_result result;
        start_wait(loop, sockets.server, result);
        asio::write(sockets.client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        asio::steady_timer stop(loop, std::chrono::steady_clock::now() - std::chrono::seconds(1));
        bool was_waiting = false;
        stop.async_wait([&](const std::error_code&) {
            was_waiting = !result.ended;
            sockets.server->cancel_wait();
        });
        while (!result.ended) {
            loop.restart();
            loop.poll();
        }
        CPPUNIT_ASSERT(was_waiting);
        CPPUNIT_ASSERT(result.has_message);
        CPPUNIT_ASSERT(result.is_open);
    }

    void request_that_arrived_before_stop_is_read() {
        asio::io_context loop;
        socket_pair sockets(loop);
        wait_result result;
        start_wait(loop, sockets.server, result);
        // The loop is busy while the request arrives and the stop comes due.
        asio::write(sockets.client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        sockets.server->cancel_wait();
        loop.restart();
        loop.poll();
        CPPUNIT_ASSERT(result.ended);
        CPPUNIT_ASSERT(result.has_message);
        CPPUNIT_ASSERT(result.is_open);
    }

    void idle_wait_ends_at_stop() {
        asio::io_context loop;
        socket_pair sockets(loop);
        wait_result result;
        start_wait(loop, sockets.server, result);
        sockets.server->cancel_wait();
        loop.restart();
        loop.poll();
        CPPUNIT_ASSERT(result.ended);
        CPPUNIT_ASSERT(!result.has_message);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(connection_wait_test);

}  // namespace tallyfold::tests
