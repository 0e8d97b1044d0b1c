#include "tallyfold/base/protocol/compression.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class compression_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(compression_test);
    CPPUNIT_TEST(decompression_restores_the_input);
    CPPUNIT_TEST(truncated_data_is_refused);
    CPPUNIT_TEST(a_result_over_the_size_limit_is_refused);
    CPPUNIT_TEST_SUITE_END();

    void decompression_restores_the_input() {
        check_property("decompression restores the input", [] {
            const std::string bytes = *any_bytes();
            const auto decompressed = protocol::decompress(protocol::compress(bytes), bytes.size());
            RC_ASSERT(decompressed.has_value());
            RC_ASSERT(*decompressed == bytes);
        });
    }

    void truncated_data_is_refused() {
        check_property("arbitrary bytes are handled and truncated data is refused", [] {
            constexpr std::size_t max_size = 1U << 20U;
            const std::string bytes = *any_bytes();
            (void)protocol::decompress(bytes, max_size);
            std::string packed = protocol::compress(bytes);
            packed.pop_back();
            RC_ASSERT(!protocol::decompress(packed, max_size).has_value());
        });
    }

    void a_result_over_the_size_limit_is_refused() {
        const std::string packed = protocol::compress(std::string(100'000, 'a'));
        CPPUNIT_ASSERT(packed.size() < 1'000);
        CPPUNIT_ASSERT(!protocol::decompress(packed, 99'999).has_value());
        CPPUNIT_ASSERT(protocol::decompress(packed, 100'000).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(compression_test);

}  // namespace tallyfold::tests
