#include "tallyfold/base/protocol/binary_codec.hpp"

#include "tallyfold/program_api/transport/messages.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class binary_codec_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(binary_codec_test);
    CPPUNIT_TEST(messages_round_trip);
    CPPUNIT_TEST(any_bytes_are_decoded_or_refused);
    CPPUNIT_TEST(corrupt_and_truncated_messages_are_decoded_or_refused);
    CPPUNIT_TEST(an_element_count_over_the_message_size_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static protocol::internal_message sample() {
        protocol::scheduler_request request;
        request.correlation = 7;
        protocol::program_call call;
        call.program = "p";
        call.sequence = 2;
        call.messages = {{"user", "hello", 3}};
        call.delivered = {"x", "y"};
        request.call = call;
        return request;
    }

    void messages_round_trip() {
        const std::string bytes = protocol::encode(sample());
        const auto decoded = protocol::decode<protocol::internal_message>(bytes);
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT_EQUAL(bytes, protocol::encode(*decoded));
    }

    void any_bytes_are_decoded_or_refused() {
        check_property("decode returns a value or a reason for any bytes", [] {
            const std::string noise = *any_bytes();
            const auto decoded = protocol::decode<protocol::internal_message>(noise);
            RC_ASSERT(decoded.has_value() || !decoded.error().reason.empty());
        });
    }

    void corrupt_and_truncated_messages_are_decoded_or_refused() {
        check_property("decode returns for corrupt messages", [] {
            std::string bytes = protocol::encode(sample());
            const auto at =
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size())));
            bytes[at] = static_cast<char>(bytes[at] ^ (1 << *rc::gen::inRange(0, 8)));
            bytes.resize(
                static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(bytes.size()) + 1)));
            (void)protocol::decode<protocol::internal_message>(bytes);
        });
    }

    void an_element_count_over_the_message_size_is_refused() {
        std::string bytes = protocol::encode(std::vector<std::string>{"a"});
        bytes[0] = '\xff';
        bytes[1] = '\xff';
        bytes[2] = '\xff';
        CPPUNIT_ASSERT(!protocol::decode<std::vector<std::string>>(bytes).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(binary_codec_test);

}  // namespace tallyfold::tests
