#include "tallyfold/base/storage/checksum.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class checksum_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(checksum_test);
    CPPUNIT_TEST(checksum_matches_the_crc32c_check_value);
    CPPUNIT_TEST(hardware_and_portable_checksums_agree);
    CPPUNIT_TEST_SUITE_END();

    /// Published check value of CRC-32C.
    void checksum_matches_the_crc32c_check_value() {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0xE3069283}, storage::checksum("123456789"));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, storage::checksum(""));
    }

    void hardware_and_portable_checksums_agree() {
        check_property("both implementations agree", [](const std::string& bytes) {
            RC_ASSERT(storage::checksum(bytes) == storage::portable_checksum(bytes));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(checksum_test);

}  // namespace tallyfold::tests
