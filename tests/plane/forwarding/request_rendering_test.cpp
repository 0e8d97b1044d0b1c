#include "tallyfold/plane/forwarding/request_rendering.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class request_rendering_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_rendering_test);
    CPPUNIT_TEST(body_has_content_length);
    CPPUNIT_TEST(request_without_body_has_no_content_length);
    CPPUNIT_TEST_SUITE_END();

    static http::message_head caller_head() {
        http::message_head head;
        head.method = "POST";
        head.target = "/a/b?c=d";
        return head;
    }
    static http::header_list one_field() {
        http::header_list headers;
        headers.add("X-One", "1");
        return headers;
    }

    void body_has_content_length() {
        http::message_head head = caller_head();
        head.framing = http::body_framing::chunked;
        CPPUNIT_ASSERT_EQUAL(
            std::string("POST /a/b?c=d HTTP/1.1\r\nX-One: 1\r\nContent-Length: 4\r\n\r\n"),
            render_backend_head(head, one_field(), 4));
        CPPUNIT_ASSERT_EQUAL(
            std::string("POST /a/b?c=d HTTP/1.1\r\nX-One: 1\r\nContent-Length: 0\r\n\r\n"),
            render_backend_head(head, one_field(), 0));
    }

    void request_without_body_has_no_content_length() {
        CPPUNIT_ASSERT_EQUAL(std::string("POST /a/b?c=d HTTP/1.1\r\nX-One: 1\r\n\r\n"),
                             render_backend_head(caller_head(), one_field(), 0));
        // A turn without input whose body is only the history.
        CPPUNIT_ASSERT_EQUAL(
            std::string("POST /a/b?c=d HTTP/1.1\r\nX-One: 1\r\nContent-Length: 2\r\n\r\n"),
            render_backend_head(caller_head(), one_field(), 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_rendering_test);

}  // namespace tallyfold::tests
