/// @file
/// Arithmetic that must give the same results on every kind of machine: several nodes compute the
/// same values, and a seeded run is repeated elsewhere.

#include <type_traits>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

class portable_arithmetic_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(portable_arithmetic_test);
    CPPUNIT_TEST(products_are_rounded_before_they_are_added);
    CPPUNIT_TEST(characters_are_signed);
    CPPUNIT_TEST_SUITE_END();

    void products_are_rounded_before_they_are_added() {
        // The square is 1 + 2^-29 + 2^-60, and the last term is lost when the product is rounded.
        const volatile double factor = 1 + 0x1p-30;
        const volatile double rounded_square = 1 + 0x1p-29;
        CPPUNIT_ASSERT_EQUAL(0.0, factor * factor - rounded_square);
    }

    void characters_are_signed() {
        static_assert(std::is_signed_v<char>);
        const volatile char byte = '\xFF';
        CPPUNIT_ASSERT(byte < 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(portable_arithmetic_test);

}  // namespace tallyfold::tests
