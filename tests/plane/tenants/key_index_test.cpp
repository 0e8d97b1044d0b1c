#include "tallyfold/plane/tenants/key_index.hpp"

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/plane/routing/route_table.hpp"
#include "tallyfold/plane/routing/validation.hpp"
#include "tallyfold/plane/tenants/tenant_scope.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace tenants;

class key_index_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(key_index_test);
    CPPUNIT_TEST(finds_tenants_by_exact_key_only);
    CPPUNIT_TEST(empty_oversized_and_extended_keys_find_no_tenant);
    CPPUNIT_TEST(loggable_key_is_a_short_stable_digest);
    CPPUNIT_TEST(scoped_identifiers_of_tenants_differ);
    CPPUNIT_TEST(validation_rejects_invalid_tenants);
    CPPUNIT_TEST(reads_configurations_without_keys);
    CPPUNIT_TEST(configurations_with_tenants_round_trip);
    CPPUNIT_TEST_SUITE_END();

    static routing::tenant make(const std::string& name, std::vector<std::string> keys) {
        routing::tenant made;
        made.name = name;
        made.keys = std::move(keys);
        return made;
    }
    static routing::configuration valid() {
        routing::configuration made;
        made.version = 4;
        made.services = {{"s", "/health", 10, false, 0, 0, 1}};
        routing::route route;
        route.name = "r";
        route.host = "h";
        route.prefix = "/a/";
        route.services = {{"s", 1}};
        route.timeout_ms = 1'000;
        route.is_public = true;
        made.routes = {route};
        made.tenants = {make("one", {"k1", "k2"}), make("two", {"k3"})};
        made.tenants.front().rate_per_second = 12.5;
        return made;
    }

    void finds_tenants_by_exact_key_only() {
        const std::vector<routing::tenant> known = valid().tenants;
        const key_index keys(known);
        CPPUNIT_ASSERT(keys.required());
        CPPUNIT_ASSERT_EQUAL(std::string("one"), keys.find("k2")->name);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), keys.find("k3")->name);
        const std::vector<routing::tenant> no_tenants;
        CPPUNIT_ASSERT(!key_index(no_tenants).required());
        check_property("a text that is not a key finds no tenant", [&] {
            const std::string text = *any_bytes();
            const bool is_key = text == "k1" || text == "k2" || text == "k3";
            RC_ASSERT((keys.find(text) != nullptr) == is_key);
        });
    }

    void empty_oversized_and_extended_keys_find_no_tenant() {
        const std::string huge(10'000, 'k');
        const std::vector<routing::tenant> known{make("one", {huge, "k1"})};
        const key_index keys(known);
        CPPUNIT_ASSERT(keys.find("") == nullptr);
        CPPUNIT_ASSERT(keys.find(huge) == nullptr);
        CPPUNIT_ASSERT(keys.find(std::string("k1\0", 3)) == nullptr);
    }

    void loggable_key_is_a_short_stable_digest() {
        const std::string shown = loggable_key("gjqnirth5mgjy5rcpihh");
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, shown.size());
        CPPUNIT_ASSERT_EQUAL(shown, loggable_key("gjqnirth5mgjy5rcpihh"));
        CPPUNIT_ASSERT(shown != loggable_key("gjqnirth5mgjy5rcpihi"));
        CPPUNIT_ASSERT_EQUAL(std::string("-"), loggable_key(""));
    }

    void scoped_identifiers_of_tenants_differ() {
        check_property("scoped identifiers of two tenants differ for any names", [] {
            const auto name = rc::gen::nonEmpty(
                rc::gen::container<std::string>(rc::gen::element('1', '2', ':', '/', 'a')));
            const std::string one = *name;
            const std::string other = *name;
            RC_PRE(one != other);
            const std::string of_one = tenant_scope(one).scoped(*name);
            const std::string of_other = tenant_scope(other).scoped(*name);
            RC_ASSERT(of_one != of_other);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("p1"), tenant_scope("").scoped("p1"));
        CPPUNIT_ASSERT_EQUAL(std::string{}, tenant_scope("one").scoped(""));
    }

    static void assert_rejected(const std::function<void(routing::configuration&)>& invalidate) {
        routing::configuration candidate = valid();
        invalidate(candidate);
        const auto outcome = routing::validate(candidate);
        CPPUNIT_ASSERT(!outcome.has_value());
        CPPUNIT_ASSERT(!outcome.error().reason.empty());
        CPPUNIT_ASSERT(outcome.error().reason.find("k1") == std::string::npos);
    }

    void validation_rejects_invalid_tenants() {
        CPPUNIT_ASSERT(routing::validate(valid()).has_value());
        assert_rejected([](auto& it) { it.tenants[1].keys = {"k1"}; });
        assert_rejected([](auto& it) { it.tenants[0].keys = {"k1", "k1"}; });
        assert_rejected([](auto& it) { it.tenants[0].keys = {""}; });
        assert_rejected([](auto& it) { it.tenants[1].name = "one"; });
        assert_rejected([](auto& it) { it.tenants[1].name = ""; });
        assert_rejected([](auto& it) { it.tenants[0].rate_per_second = -1; });
        assert_rejected([](auto& it) { it.tenants[0].rate_per_second = std::nan(""); });
        assert_rejected([](auto& it) { it.tenants[0].burst = 1e300; });
    }

    /// Configuration format from before keys were added.
    struct earlier_configuration {
        std::uint64_t version = 0;
        std::vector<routing::route_without_keys> routes;
        std::vector<routing::service> services;
        routing::caller_limits limits;
        template <class Archive>
        void serialize(Archive& archive) {
            archive(version, routes, services, limits);
        }
    };

    void reads_configurations_without_keys() {
        earlier_configuration earlier;
        earlier.version = 9;
        earlier.services = valid().services;
        earlier.limits.body_bytes = 77;
        routing::route_without_keys route;
        route.name = "old";
        route.host = "h";
        route.keeps_history = true;
        route.retention_seconds = 60;
        earlier.routes = {route, route};
        const auto read = protocol::decode<routing::configuration>(protocol::encode(earlier));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, read->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->routes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("old"), read->routes.back().name);
        CPPUNIT_ASSERT(read->routes.back().keeps_history && !read->routes.back().is_public);
        CPPUNIT_ASSERT(read->services == earlier.services);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, read->limits.body_bytes);
        CPPUNIT_ASSERT(read->tenants.empty());
    }

    void configurations_with_tenants_round_trip() {
        const auto read = protocol::decode<routing::configuration>(protocol::encode(valid()));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(*read == valid());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(key_index_test);

}  // namespace tallyfold::tests
