/// @file
/// Guards against streams that failed and reach their callers framed as complete.

#include "tallyfold/program_api/http/http_server.hpp"

#include <unistd.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(aborted_stream_is_not_framed_as_complete);
    CPPUNIT_TEST(finished_stream_is_framed_as_complete);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint16_t port = 17'190;
    static constexpr const char* last_chunk_text = "\r\n0\r\n\r\n";

    /// A loopback address that no other process uses: it contains the process's number.
    static asio::ip::address_v4 own_address() {
        constexpr std::uint32_t loopback_network = 127U << 24U;
        return asio::ip::address_v4(loopback_network | static_cast<std::uint32_t>(::getpid()));
    }

    /// Reads until the server closes the connection or the text ends with `last`.
    static std::string read_response(asio::ip::tcp::socket& socket, const std::string& last,
                                     bool& closed) {
        std::string text;
        std::array<char, 4'096> buffer{};
        closed = false;
        while (!text.ends_with(last)) {
            std::error_code error;
            const std::size_t count = socket.read_some(asio::buffer(buffer), error);
            text.append(buffer.data(), count);
            if (error) {
                closed = true;
                break;
            }
        }
        return text;
    }

    /// Response to one request on a kept connection, whose stream `end` ends.
    static std::string stream_ended_by(const std::function<void(net::http_exchange&)>& end,
                                       bool& closed) {
        net::http_server server({own_address().to_string() + ":" + std::to_string(port)},
                                [&](auto exchange) {
                                    exchange->start_stream();
                                    exchange->write("data: first\n\n");
                                    exchange->write("data: second\n\n");
                                    end(*exchange);
                                });
        CPPUNIT_ASSERT_EQUAL(std::string{}, server.start());
        asio::io_context loop;
        asio::ip::tcp::socket socket(loop);
        socket.connect({own_address(), port});
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: host\r\n\r\n")));
        std::string text = read_response(socket, last_chunk_text, closed);
        server.stop();
        return text;
    }

    void aborted_stream_is_not_framed_as_complete() {
        bool closed = false;
        const std::string text =
            stream_ended_by([](net::http_exchange& exchange) { exchange.abort(); }, closed);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("data: second") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, !text.ends_with(last_chunk_text));
        CPPUNIT_ASSERT(closed);
    }

    void finished_stream_is_framed_as_complete() {
        bool closed = false;
        const std::string text =
            stream_ended_by([](net::http_exchange& exchange) { exchange.finish(); }, closed);
        CPPUNIT_ASSERT_MESSAGE(text, text.ends_with(last_chunk_text));
        CPPUNIT_ASSERT(!closed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

}  // namespace tallyfold::tests
