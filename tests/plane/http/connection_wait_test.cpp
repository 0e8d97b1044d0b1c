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

    /// Stops the wait after some handlers have run since the request arrived.
    /// @return true if the wait had not ended by then
    static bool stop_after(int handlers) {
        asio::io_context loop;
        socket_pair sockets(loop);
        // The previous request's watch is still registered, and completes first.
        sockets.server->notify_on_close([] {});
        sockets.server->cancel_close_notification();
        wait_result result;
        start_wait(loop, sockets.server, result);
        asio::write(sockets.client, asio::buffer(std::string("GET / HTTP/1.1\r\n\r\n")));
        for (int count = 0; count < handlers && !result.ended; ++count) {
            loop.restart();
            loop.poll_one();
        }
        const bool was_waiting = !result.ended;
        sockets.server->cancel_wait();
        while (!result.ended) {
            loop.restart();
            loop.poll();
        }
        CPPUNIT_ASSERT(result.has_message);
        CPPUNIT_ASSERT(result.is_open);
        return was_waiting;
    }

    void request_read_before_stop_can_be_answered() {
        constexpr int max_handlers = 100;
        int handlers = 0;
        while (stop_after(handlers) && handlers < max_handlers) {
            ++handlers;
        }
        // The stop has come at every point between the arrival and the end of the wait.
        CPPUNIT_ASSERT(handlers > 0 && handlers < max_handlers);
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
