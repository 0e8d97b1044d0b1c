#pragma once
/// @file
/// Common header of all test suites: CppUnit, and rapidcheck properties with a fixed seed.

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace tallyfold::tests {

/// Checks a property with rapidcheck; fails the test and prints the counterexample if there is one.
template <class Property>
void check_property(const std::string& description, Property&& property) {
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<Property>(property)));
}

/// Generates arbitrary bytes, for decoders that must reject malformed input with an error.
inline rc::Gen<std::string> any_bytes() {
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

}  // namespace tallyfold::tests
