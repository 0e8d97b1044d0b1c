/// @file
/// Guards against malformed and endless answers that libcurl accepts.

#include "tallyfold/program_api/http/http_client.hpp"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

#include "tallyfold/program_api/http/blocking_http.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

namespace {

/// Answers one request with given bytes, and with `repeated` after them until the client closes the
/// connection.
class one_answer_server {
  public:
    explicit one_answer_server(std::string answer, std::string repeated = {})
        : acceptor_(loop_, {asio::ip::address_v4::loopback(), 0}),
          thread_([this, answer = std::move(answer), repeated = std::move(repeated)] {
              serve(answer, repeated);
          }) {}
    ~one_answer_server() { thread_.join(); }
    one_answer_server(const one_answer_server&) = delete;
    one_answer_server& operator=(const one_answer_server&) = delete;

    [[nodiscard]] std::string url() const {
        return "http://127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()) + "/";
    }
    [[nodiscard]] std::size_t sent_bytes() const { return sent_; }

  private:
    void serve(const std::string& answer, const std::string& repeated) {
        asio::ip::tcp::socket socket = acceptor_.accept();
        std::array<char, 4'096> request{};
        std::error_code error;
        socket.read_some(asio::buffer(request), error);
        sent_ += asio::write(socket, asio::buffer(answer), error);
        while (!error && !repeated.empty()) {
            sent_ += asio::write(socket, asio::buffer(repeated), error);
        }
    }

    asio::io_context loop_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<std::size_t> sent_{0};
    std::thread thread_;
};

/// What a call ends with, after the bytes of its stream.
struct call_end {
    net::http_event last;
    std::string streamed;
};

call_end call(const std::string& url, bool streamed) {
    std::mutex mutex;
    std::condition_variable ended;
    bool done = false;
    call_end result;
    net::http_client client([&](net::http_event event) {
        const std::lock_guard lock(mutex);
        if (event.kind == net::http_event_kind::data) {
            result.streamed += event.bytes;
            return;
        }
        result.last = std::move(event);
        done = true;
        ended.notify_one();
    });
    client.start();
    net::http_call order;
    order.id = 1;
    order.url = url;
    order.timeout = std::chrono::seconds(20);
    order.streamed = streamed;
    CPPUNIT_ASSERT(client.submit(std::move(order)));
    std::unique_lock lock(mutex);
    ended.wait(lock, [&] { return done; });
    lock.unlock();
    client.stop();
    return result;
}

}  // namespace

class http_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_client_test);
    CPPUNIT_TEST(malformed_answer_is_broken);
    CPPUNIT_TEST(malformed_answer_is_no_reply);
    CPPUNIT_TEST(sound_answer_is_delivered);
    CPPUNIT_TEST(endless_answer_is_broken);
    CPPUNIT_TEST_SUITE_END();

    static std::string answer(const std::string& status, const std::string& field) {
        return "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\nConnection: close\r\n" + field +
               "\r\nok";
    }
    static std::vector<std::string> malformed_answers() {
        return {answer("000", ""),
                answer("099", ""),
                answer("0200", ""),
                answer("600", ""),
                answer("200", "X Bad: 1\r\n"),
                answer("200", "X-Bad : 1\r\n"),
                answer("200", "\rX-Bad: 1\r\n"),
                answer("200",
                       "X-B\x01"
                       "ad: 1\r\n")};
    }

    void malformed_answer_is_broken() {
        for (const std::string& bytes : malformed_answers()) {
            for (const bool streamed : {false, true}) {
                one_answer_server server(bytes);
                const call_end seen = call(server.url(), streamed);
                CPPUNIT_ASSERT_MESSAGE(bytes, seen.last.kind == net::http_event_kind::broken);
                CPPUNIT_ASSERT_MESSAGE(bytes, seen.streamed.empty());
            }
        }
    }

    void malformed_answer_is_no_reply() {
        for (const std::string& bytes : malformed_answers()) {
            one_answer_server server(bytes);
            net::blocking_request request;
            request.url = server.url();
            const net::blocking_reply reply = net::fetch(request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 0, reply.status);
            CPPUNIT_ASSERT(!reply.failure.empty());
        }
    }

    void sound_answer_is_delivered() {
        for (const std::string& bytes :
             {answer("200", ""), "HTTP/1.1 100 Continue\r\n\r\n" + answer("200", "X-A:\r\n"),
              answer("200", "X-Folded: a\r\n b\r\n"),
              std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "2\r\nok\r\n0\r\nX-Trailer: 1\r\n\r\n")}) {
            one_answer_server server(bytes);
            const call_end seen = call(server.url(), false);
            CPPUNIT_ASSERT_MESSAGE(bytes, seen.last.kind == net::http_event_kind::finished);
            CPPUNIT_ASSERT_EQUAL(200, seen.last.status);
            CPPUNIT_ASSERT_EQUAL(std::string("ok"), seen.last.bytes);
        }
    }

    void endless_answer_is_broken() {
        // The bound of an answer and what the sockets buffer.
        constexpr std::size_t most_sent = 32U << 20U;
        for (const char* status : {"200", "500"}) {
            one_answer_server server("HTTP/1.1 " + std::string(status) + " OK\r\n\r\n",
                                     std::string(16'000, 'x'));
            const call_end seen = call(server.url(), std::string(status) == "500");
            CPPUNIT_ASSERT(seen.last.kind == net::http_event_kind::broken);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(server.sent_bytes()),
                                   server.sent_bytes() < most_sent);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

}  // namespace tallyfold::tests
