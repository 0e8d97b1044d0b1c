#pragma once
/// @file
/// What every suite includes: CppUnit, and properties checked by rapidcheck with a pinned seed.

#include <cppunit/TestAssert.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>

namespace tallyfold::tests {

/// Fails the test when rapidcheck finds a counterexample, which it prints.
template <class Property>
void check_property(const std::string& description, Property&& property) {
    CPPUNIT_ASSERT_MESSAGE(description, rc::check(description, std::forward<Property>(property)));
}

/// Arbitrary bytes, for decoders that must answer anything with a clear error.
inline rc::Gen<std::string> any_bytes() {
    return rc::gen::container<std::string>(rc::gen::arbitrary<char>());
}

}  // namespace tallyfold::tests
