#include "tallyfold/plane/forwarding/answer_rendering.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class answer_rendering_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answer_rendering_test);
    CPPUNIT_TEST(refusal_has_retry_after);
    CPPUNIT_TEST(relayed_head_replaces_only_framing_fields);
    CPPUNIT_TEST(chunk_length_is_hexadecimal);
    CPPUNIT_TEST_SUITE_END();

    static bool contains(const std::string& text, const std::string& part) {
        return text.find(part) != std::string::npos;
    }

    void refusal_has_retry_after() {
        const std::string soon = render_local_answer(503, "full", retry_after::soon(), true);
        CPPUNIT_ASSERT(soon.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT(contains(soon, "Retry-After: 0.2\r\n"));
        const std::string never = render_local_answer(404, "no route", retry_after::never(), true);
        CPPUNIT_ASSERT(!contains(never, "Retry-After"));
    }

    void relayed_head_replaces_only_framing_fields() {
        http::message_head head;
        head.status = 206;
        head.headers.add("X-Signed", "yes");
        head.headers.add("Content-Length", "7");
        const std::string chunked = render_relayed_head(head, {true, 0, false}, true);
        CPPUNIT_ASSERT(chunked.starts_with("HTTP/1.1 206 "));
        CPPUNIT_ASSERT(contains(chunked, "X-Signed: yes\r\n"));
        CPPUNIT_ASSERT(contains(chunked, "Transfer-Encoding: chunked\r\n"));
        CPPUNIT_ASSERT(!contains(chunked, "Content-Length"));
        const std::string closing = render_relayed_head(head, {false, 9, false}, false);
        CPPUNIT_ASSERT(contains(closing, "Content-Length: 9\r\n"));
        CPPUNIT_ASSERT(contains(closing, "Connection: close\r\n\r\n"));
    }

    void chunk_length_is_hexadecimal() {
        CPPUNIT_ASSERT_EQUAL(std::string("1a\r\n") + std::string(26, 'x') + "\r\n",
                             render_chunk(std::string(26, 'x')));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_rendering_test);

}  // namespace tallyfold::tests
