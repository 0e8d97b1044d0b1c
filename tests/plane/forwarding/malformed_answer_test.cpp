/// @file
/// Guards against malformed answers of back ends that reach callers, as they are or framed anew.

#include "tests/plane/forwarding/forwarder_world.hpp"
#include "tests/plane/forwarding/verbatim_backend.hpp"

namespace tallyfold::tests {

namespace {

constexpr const char* sound_fields =
    "X-Response-Signature: s\r\nX-Request-Id: ID\r\nContent-Type: text/event-stream\r\n";
constexpr const char* counted = "Content-Length: 9\r\n";
constexpr const char* body = "data: x\n\n";
/// Time within which a request that must not repeat is answered after a malformed answer, and one
/// that may repeat is answered by the next back end.
constexpr duration prompt = std::chrono::milliseconds(1'000);

std::string sound_answer() {
    return std::string("HTTP/1.1 200 OK\r\n") + sound_fields + counted + "\r\n" + body;
}

/// An otherwise sound answer with a further line in its head.
std::string with_line(const std::string& line) {
    return std::string("HTTP/1.1 200 OK\r\n") + sound_fields + line + "\r\n" + counted + "\r\n" +
           body;
}

std::string with_first_line(const std::string& line) {
    return "HTTP/1.1 200 OK\r\n" + line + "\r\n" + sound_fields + counted + "\r\n" + body;
}

std::string with_start(const std::string& start_line) {
    return start_line + "\r\n" + sound_fields + counted + "\r\n" + body;
}

std::string with_coding(const std::string& coding, const std::string& chunks) {
    return std::string("HTTP/1.1 200 OK\r\n") + sound_fields + "Transfer-Encoding: " + coding +
           "\r\n\r\n" + chunks;
}

std::string with_chunks(const std::string& chunks) {
    return with_coding("chunked", chunks);
}

}  // namespace

class malformed_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(malformed_answer_test);
    CPPUNIT_TEST(field_names_are_tokens);
    CPPUNIT_TEST(lines_end_in_line_feeds);
    CPPUNIT_TEST(statuses_have_three_digits_of_a_known_class);
    CPPUNIT_TEST(versions_are_of_http_1);
    CPPUNIT_TEST(transfer_coding_is_chunked_once);
    CPPUNIT_TEST(chunks_are_framed);
    CPPUNIT_TEST(malformed_answer_counts_against_its_back_end);
    CPPUNIT_TEST(sound_answers_of_all_forms_pass);
    CPPUNIT_TEST_SUITE_END();

    struct outcome {
        std::string text;
        duration elapsed{};
        std::size_t requests = 0;
    };

    /// Sends one request while the first answer of either back end is the given one, and each
    /// further one sound.
    static outcome relay(const std::string& route, const std::string& answer) {
        forwarder_world world;
        world.apply_configuration();
        verbatim_backend backend(world.process.loop(), {answer, sound_answer()});
        world.list_backend(backend.address(), "v1");
        world.list_backend(backend.address(), "v1");
        const auto caller = world.connect();
        const instant sent = http::steady_now();
        caller->send(forwarder_world::request(route, "r1", "X-Deadline-Ms: 4000\r\n"));
        CPPUNIT_ASSERT(world.run_until([&] {
            return caller->ended() ||
                   (!caller->received().empty() && world.callers.active_request_count() == 0);
        }));
        outcome seen;
        seen.text = caller->received();
        seen.elapsed = http::steady_now() - sent;
        seen.requests = backend.requests();
        return seen;
    }

    static void check_refused(const std::string& answer) {
        const outcome once = relay("once", answer);
        CPPUNIT_ASSERT_MESSAGE(answer + "\n-> " + once.text, once.text.starts_with("HTTP/1.1 502"));
        CPPUNIT_ASSERT_MESSAGE(answer, once.elapsed < prompt);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, once.requests);
        for (const char* route : {"repeatable", "resumable"}) {
            const outcome seen = relay(route, answer);
            CPPUNIT_ASSERT_MESSAGE(answer + "\n-> " + seen.text,
                                   seen.text.starts_with("HTTP/1.1 200") &&
                                       seen.text.find(body) != std::string::npos &&
                                       seen.text.find("X-Bad") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(answer, seen.elapsed < prompt);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t{2}, seen.requests);
        }
    }

    void field_names_are_tokens() {
        for (const char* line :
             {"X Bad: 1", "X-Bad : 1", "Content-Length : 3", "Transfer-Encoding : chunked",
              "Connection : X-Response-Signature", "X-Bad\t: 1",
              "X-B\x01"
              "ad: 1",
              "X-B\x7f"
              "ad: 1",
              "X-Bad\xc3\xa9: 1", "X(Bad): 1", ": 1", "X-Bad"}) {
            check_refused(with_line(line));
        }
        check_refused(with_line(std::string("X-B\0ad: 1", 9)));
        check_refused(with_first_line(" X-Bad: 1"));
        check_refused(with_first_line("\tX-Bad: 1"));
    }

    void lines_end_in_line_feeds() {
        for (const char* line : {"\rX-Bad: 1", "X-Bad: \rbc: d", "X-Bad: a\rb", "X-Bad: 1\r",
                                 "X-Bad: a\x01", "X-Bad: a\x7f"}) {
            check_refused(with_line(line));
        }
        check_refused("HTTP/1.1 200 OK\r" + std::string(sound_fields) + counted + "\r\n" + body);
        check_refused("HTTP/1.1 200 OK\r\n" + std::string(sound_fields) + counted + "\rX" + body);
    }

    void statuses_have_three_digits_of_a_known_class() {
        for (const char* status : {"000", "001", "099", "99", "2", "20", "0200", "00200", "600",
                                   "999", "1000", "101", "-200", "2 0", ""}) {
            check_refused(with_start("HTTP/1.1 " + std::string(status) + " OK"));
        }
        check_refused(with_start("HTTP/1.1  200 OK"));
        check_refused(with_start("HTTP/1.1 200OK"));
        check_refused(with_start("HTTP/1.1 200 O\x01K"));
    }

    void versions_are_of_http_1() {
        for (const char* version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.7", "HTTP/1", "http/1.1"}) {
            check_refused(with_start(std::string(version) + " 200 OK"));
        }
    }

    void transfer_coding_is_chunked_once() {
        const std::string chunks = "9\r\n" + std::string(body) + "\r\n0\r\n\r\n";
        for (const char* coding : {"gzip, chunked", "xchunked", "chunked, identity", "identity",
                                   "chunked, chunked", "chunked\r\nTransfer-Encoding: chunked",
                                   "chun\r\n ked", "chunkedx", "chunked;q=1", ""}) {
            check_refused(with_coding(coding, chunks));
        }
    }

    void chunks_are_framed() {
        const std::string data = body;
        for (const std::string& chunks :
             {"9\r\n" + data + "xx0\r\n\r\n", "9\r\n" + data + "\n\n0\r\n\r\n",
              "9\rx" + data + "\r\n0\r\n\r\n", "9;a\nb\r\n" + data + "\r\n0\r\n\r\n",
              "9 a\r\n" + data + "\r\n0\r\n\r\n", "9\r\n" + data + "\r\n0\r\n\rx",
              "9\r\n" + data + "\r\n0\r\nX Bad: 1\r\n\r\n", "x\r\n" + data + "\r\n0\r\n\r\n",
              "\r\n9\r\n" + data + "\r\n0\r\n\r\n", "9;a=\x01\r\n" + data + "\r\n0\r\n\r\n"}) {
            check_refused(with_chunks(chunks));
        }
    }

    void malformed_answer_counts_against_its_back_end() {
        forwarder_world world;
        world.apply_configuration();
        verbatim_backend faulty(world.process.loop(), {with_start("HTTP/1.1 000 OK")});
        world.list_backend(faulty.address());
        counting_backend& sound = world.add_backend(backend_behavior::answers);
        constexpr int count = 60;
        for (int number = 0; number < count; ++number) {
            const auto caller = world.connect();
            caller->send(forwarder_world::request("repeatable", "r" + std::to_string(number)));
            CPPUNIT_ASSERT(world.run_until([&] { return caller->received_text("HTTP/1.1 200"); }));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, sound.requests().size());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(faulty.requests()),
                               faulty.requests() > 0 && faulty.requests() < count / 4);
        CPPUNIT_ASSERT_EQUAL(faulty.requests(), faulty.connections());
    }

    void sound_answers_of_all_forms_pass() {
        for (const std::string& answer :
             {sound_answer(), with_line("X-Folded: a\r\n b\r\n\tc"), with_line("X-Empty:"),
              with_line("X-Bytes: \xc3\xa9"), with_start("HTTP/1.0 200 OK"),
              with_start("HTTP/1.1 200"), with_start("HTTP/1.1 200 "),
              with_start("HTTP/1.1 200 a\tb\xc3"), "HTTP/1.1 100 Continue\r\n\r\n" + sound_answer(),
              "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + sound_answer(),
              with_chunks("9\r\n" + std::string(body) + "\r\n0\r\n\r\n"),
              with_chunks("009 ; a=\"b\"\r\n" + std::string(body) + "\r\n00\r\nX-T: 1\r\n\r\n"),
              with_coding("Chunked ", "9\r\n" + std::string(body) + "\r\n0\r\n\r\n")}) {
            for (const char* route : {"once", "repeatable", "resumable"}) {
                const outcome seen = relay(route, answer);
                CPPUNIT_ASSERT_MESSAGE(answer + "\n-> " + seen.text,
                                       seen.text.starts_with("HTTP/1.1 200") &&
                                           seen.text.find(body) != std::string::npos);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t{1}, seen.requests);
            }
        }
        // A caller can't tell a bare LF from CR LF in what it receives.
        const outcome bare = relay("once",
                                   "HTTP/1.1 200 OK\nX-Response-Signature: s\nX-Request-Id: ID\n"
                                   "Content-Length: 9\n\n" +
                                       std::string(body));
        CPPUNIT_ASSERT_MESSAGE(bare.text, bare.text.starts_with("HTTP/1.1 200"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(malformed_answer_test);

}  // namespace tallyfold::tests
