#include "tallyfold/plane/routing/configuration_change.hpp"

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace routing;

class configuration_change_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_change_test);
    CPPUNIT_TEST(applied_difference_gives_the_target);
    CPPUNIT_TEST(full_configuration_is_difference_from_empty_one);
    CPPUNIT_TEST(difference_contains_only_changed_routes);
    CPPUNIT_TEST(a_difference_from_another_version_is_refused);
    CPPUNIT_TEST(a_damaged_difference_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static route route_at(unsigned number, std::uint32_t timeout_ms) {
        route made;
        made.name = "r" + std::to_string(number);
        made.host = "h" + std::to_string(number % 5) + ".example";
        made.prefix = "/p" + std::to_string(number) + "/";
        made.timeout_ms = timeout_ms;
        made.services.push_back({"service-a", 1});
        return made;
    }

    /// Makes a configuration from numbers; equal numbers make equal items.
    static configuration make(configuration_version version,
                              const std::vector<std::uint8_t>& routes,
                              const std::vector<std::uint8_t>& tenants) {
        configuration made;
        made.version = version;
        for (const std::uint8_t number : routes) {
            made.routes.push_back(route_at(number / 4U, 100U + number % 4U));
        }
        for (const std::uint8_t number : tenants) {
            tenant each;
            each.name = "t" + std::to_string(number);
            each.keys = {"k" + std::to_string(number)};
            made.tenants.push_back(each);
        }
        made.services.push_back({"service-a", "/health", 10, false, 0, 0, 1});
        made.limits.body_bytes = 1'000 + routes.size();
        return made;
    }

    static configuration plain(configuration_version version, unsigned count) {
        configuration made = make(version, {}, {});
        for (unsigned number = 0; number < count; ++number) {
            made.routes.push_back(route_at(number, 100));
        }
        return made;
    }

    void applied_difference_gives_the_target() {
        check_property(
            "applied to its base, a difference gives the target, in the same order",
            [](const std::vector<std::uint8_t>& before, const std::vector<std::uint8_t>& after,
               const std::vector<std::uint8_t>& keys_before,
               const std::vector<std::uint8_t>& keys_after) {
                const configuration from = make(3, before, keys_before);
                const configuration to = make(4, after, keys_after);
                const auto bytes = protocol::encode(difference(from, to));
                const auto change = protocol::decode<configuration_change>(bytes);
                RC_ASSERT(change.has_value());
                const auto result = apply(*change, from);
                RC_ASSERT(result.has_value());
                RC_ASSERT(*result == to);
            });
    }

    void full_configuration_is_difference_from_empty_one() {
        const configuration to = plain(9, 50);
        const auto result = apply(difference({}, to), {});
        CPPUNIT_ASSERT(result.has_value() && *result == to);
    }

    void difference_contains_only_changed_routes() {
        const configuration from = plain(1, 2'000);
        configuration to = plain(2, 2'000);
        to.routes[700].timeout_ms = 7;
        to.routes.erase(to.routes.begin() + 1'200);
        to.routes.push_back(route_at(5'000, 100));
        constexpr std::size_t max_bytes = 1'000;
        CPPUNIT_ASSERT(protocol::encode(difference(from, to)).size() < max_bytes);
        CPPUNIT_ASSERT(*apply(difference(from, to), from) == to);
    }

    void a_difference_from_another_version_is_refused() {
        const configuration_change change = difference(plain(1, 5), plain(2, 6));
        const auto result = apply(change, plain(3, 5));
        CPPUNIT_ASSERT(!result.has_value());
        CPPUNIT_ASSERT(result.error() == change_failure::base_mismatch);
    }

    void a_damaged_difference_is_refused() {
        const configuration from = plain(1, 5);
        configuration_change beyond = difference(from, plain(2, 6));
        beyond.routes.runs.front().count = 9;
        CPPUNIT_ASSERT(apply(beyond, from).error() == change_failure::result_mismatch);
        configuration_change altered = difference(from, plain(2, 6));
        altered.routes.runs.back().then.back().timeout_ms = 1;
        CPPUNIT_ASSERT(apply(altered, from).error() == change_failure::result_mismatch);
        // The base has the same version, but other contents.
        configuration other = plain(1, 5);
        other.routes[0].timeout_ms = 3;
        CPPUNIT_ASSERT(apply(difference(from, plain(2, 6)), other).error() ==
                       change_failure::result_mismatch);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_change_test);

}  // namespace tallyfold::tests
