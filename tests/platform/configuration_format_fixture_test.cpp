/// @file
/// Pins the platform's wire format of a configuration and of the list of replicas: every field,
/// every default, and the error texts. The platform writes both, so they must stay compatible.

#include "platform/configuration_format.hpp"
#include "platform/replica_list.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace platform;

namespace {

constexpr const char* complete_configuration = R"({
  "Version": 18446744073709551,
  "Routes": [
    {"Name": "chat", "Hostname": "chat.example", "PathPrefix": "/chat/", "Type": "streaming",
     "Resumable": true, "TimeoutMs": 4001, "TargetLatencyMs": 302, "Priority": 3,
     "MaxAttempts": 4, "KeepsHistory": true, "RetentionS": 60.5, "Public": true,
     "SessionAffinity": true,
     "TrafficSplit": [{"Service": "large", "Weight": 90}, {"Service": "small", "Weight": 9.5}]},
    {"Name": "tool", "Hostname": "tool.example", "PathPrefix": "/tool/", "Type": "idempotent",
     "TimeoutMs": 5002, "Service": "small"}],
  "Services": [
    {"Name": "large", "HealthPath": "/health", "MaxConnections": 11,
     "Engine": {"Slots": 12, "KvCapacity": 13000000000, "Stride": 14}},
    {"Name": "small", "Engine": null}],
  "Tenants": [
    {"Name": "first", "ApiKeys": ["key-1", "key-2"], "Priority": 5, "RatePerS": 388.5,
     "Burst": 15.5},
    {"Name": "second", "RatePerS": null}],
  "Limits": {"MaxHeaderBytes": 8193, "MaxBodyBytes": 5000000000, "HeaderTimeoutMs": 3003,
             "IdleTimeoutMs": 15004},
  "Unknown": 1
})";

routing::route streaming_route() {
    routing::route route;
    route.name = "chat";
    route.host = "chat.example";
    route.prefix = "/chat/";
    route.services = {{"large", 90}, {"small", 9.5}};
    route.repeats = routing::repeatability::at_most_once;
    route.streaming = true;
    route.resumable = true;
    route.timeout_ms = 4001;
    route.target_latency_ms = 302;
    route.priority = 3;
    route.max_attempts = 4;
    route.keeps_history = true;
    route.retention_seconds = 60.5;
    route.is_public = true;
    route.object_affinity = true;
    return route;
}

/// A route with the required fields only; all others have their defaults.
routing::route repeatable_route() {
    routing::route route;
    route.name = "tool";
    route.host = "tool.example";
    route.prefix = "/tool/";
    route.services = {{"small", 1}};
    route.repeats = routing::repeatability::repeatable;
    route.streaming = false;
    route.resumable = false;
    route.timeout_ms = 5002;
    route.target_latency_ms = 0;
    route.priority = 0;
    route.max_attempts = 1;
    route.keeps_history = false;
    route.retention_seconds = 0;
    route.is_public = false;
    route.object_affinity = false;
    return route;
}

routing::service engine_service() {
    routing::service service;
    service.name = "large";
    service.health_path = "/health";
    service.max_connections = 11;
    service.is_engine = true;
    service.slots = 12;
    service.cache_tokens = 13'000'000'000;
    service.tokens_per_event = 14;
    return service;
}

routing::service plain_service() {
    routing::service service;
    service.name = "small";
    service.health_path = "";
    service.max_connections = 0;
    service.is_engine = false;
    service.slots = 0;
    service.cache_tokens = 0;
    service.tokens_per_event = 1;
    return service;
}

}  // namespace

class configuration_format_fixture_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_format_fixture_test);
    CPPUNIT_TEST(complete_configuration_is_parsed);
    CPPUNIT_TEST(optional_fields_have_defaults);
    CPPUNIT_TEST(route_types_are_parsed);
    CPPUNIT_TEST(invalid_numbers_are_rejected_with_the_field_name);
    CPPUNIT_TEST(numbers_that_do_not_fit_are_rejected_with_the_field_name);
    CPPUNIT_TEST(largest_and_whole_real_numbers_are_parsed);
    CPPUNIT_TEST(missing_required_fields_are_rejected);
    CPPUNIT_TEST(replica_list_page_is_parsed);
    CPPUNIT_TEST(replica_states_are_parsed);
    CPPUNIT_TEST(page_tokens_are_sent_and_parsed);
    CPPUNIT_TEST(missing_required_replica_fields_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    void complete_configuration_is_parsed() {
        const auto parsed = parse_configuration(complete_configuration);
        CPPUNIT_ASSERT_MESSAGE(parsed ? "" : parsed.error().reason, parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{18'446'744'073'709'551},
                             parsed->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed->routes.size());
        CPPUNIT_ASSERT(parsed->routes[0] == streaming_route());
        CPPUNIT_ASSERT(parsed->routes[1] == repeatable_route());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed->services.size());
        CPPUNIT_ASSERT(parsed->services[0] == engine_service());
        CPPUNIT_ASSERT(parsed->services[1] == plain_service());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, parsed->tenants.size());
        CPPUNIT_ASSERT(parsed->tenants[0] ==
                       (routing::tenant{"first", {"key-1", "key-2"}, 5, 388.5, 15.5}));
        CPPUNIT_ASSERT(parsed->tenants[1] == (routing::tenant{"second", {}, 0, 0, 0}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8193}, parsed->limits.header_bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5'000'000'000}, parsed->limits.body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3003}, parsed->limits.header_timeout_ms);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{15004}, parsed->limits.idle_timeout_ms);
    }

    void optional_fields_have_defaults() {
        const auto parsed = parse_configuration(R"({"Version":1,"Routes":[],"Services":[]})");
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(parsed->routes.empty() && parsed->services.empty());
        CPPUNIT_ASSERT(parsed->tenants.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{16'384}, parsed->limits.header_bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4'194'304}, parsed->limits.body_bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{3'000}, parsed->limits.header_timeout_ms);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{15'000}, parsed->limits.idle_timeout_ms);
    }

    static std::string with_route(const std::string& type, const std::string& timeout) {
        return R"({"Version":1,"Services":[],"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/",)"
               R"("Type":")" +
               type + R"(","TimeoutMs":)" + timeout + "}]}";
    }

    static void assert_type(const std::string& type, bool streaming, bool repeatable) {
        const auto parsed = parse_configuration(with_route(type, "1"));
        CPPUNIT_ASSERT(parsed.has_value());
        const routing::route& route = parsed->routes.front();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(type, streaming, route.streaming);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(type, repeatable,
                                     route.repeats == routing::repeatability::repeatable);
        CPPUNIT_ASSERT(route.services.empty());
    }

    void route_types_are_parsed() {
        assert_type("idempotent", false, true);
        assert_type("streaming", true, false);
        assert_type("unique", false, false);
    }

    static std::string refusal_of(const std::string& text) {
        const auto parsed = parse_configuration(text);
        CPPUNIT_ASSERT_MESSAGE(text, !parsed.has_value());
        return parsed.error().reason;
    }

    void invalid_numbers_are_rejected_with_the_field_name() {
        const std::string reason = " must be a number, and not below 0";
        CPPUNIT_ASSERT_EQUAL("Version" + reason,
                             refusal_of(R"({"Version":-1,"Routes":[],"Services":[]})"));
        CPPUNIT_ASSERT_EQUAL("Version" + reason,
                             refusal_of(R"({"Version":"1","Routes":[],"Services":[]})"));
        CPPUNIT_ASSERT_EQUAL("TimeoutMs" + reason, refusal_of(with_route("unique", "-1")));
        const std::string begin =
            R"({"Version":1,"Routes":[],"Services":[],"Tenants":[{"Name":"t",)";
        CPPUNIT_ASSERT_EQUAL("RatePerS" + reason, refusal_of(begin + R"("RatePerS":-1}]})"));
        CPPUNIT_ASSERT_EQUAL("Burst" + reason, refusal_of(begin + R"("Burst":"1"}]})"));
    }

    static std::string with_field(const std::string& name, const std::string& number) {
        return R"({"Version":1,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/",)"
               R"("Type":"unique","TimeoutMs":1,)" +
               field_of("Route", name, number) + R"("Public":true}],"Services":[{"Name":"s",)" +
               field_of("Service", name, number) + R"("Engine":{)" +
               field_of("Engine", name, number) + R"("Other":1}}],"Tenants":[{)" +
               field_of("Tenant", name, number) + R"("Name":"t"}],"Limits":{)" +
               field_of("Limits", name, number) + R"("Other":1}})";
    }

    /// `name` is "Object.Field"; empty unless the field belongs to `object`.
    static std::string field_of(const std::string& object, const std::string& name,
                                const std::string& number) {
        return name.starts_with(object + ".")
                   ? "\"" + name.substr(object.size() + 1) + "\":" + number + ","
                   : "";
    }

    void numbers_that_do_not_fit_are_rejected_with_the_field_name() {
        for (const std::string number : {"4294967296", "4294967296.0", "1e10", "-1e10"}) {
            for (const std::string name :
                 {"Route.TargetLatencyMs", "Route.Priority", "Route.MaxAttempts",
                  "Service.MaxConnections", "Engine.Slots", "Engine.Stride", "Tenant.Priority",
                  "Limits.HeaderTimeoutMs", "Limits.IdleTimeoutMs"}) {
                const std::string reason = refusal_of(with_field(name, number));
                const std::string field = name.substr(name.find('.') + 1);
                CPPUNIT_ASSERT_MESSAGE(reason, reason.starts_with(field + " must be a number"));
            }
            const std::string reason = refusal_of(with_route("unique", number));
            CPPUNIT_ASSERT_MESSAGE(reason, reason.starts_with("TimeoutMs must be a number"));
        }
        for (const std::string name :
             {"Engine.KvCapacity", "Limits.MaxHeaderBytes", "Limits.MaxBodyBytes"}) {
            const std::string reason = refusal_of(with_field(name, "2e19"));
            const std::string field = name.substr(name.find('.') + 1);
            CPPUNIT_ASSERT_MESSAGE(reason, reason.starts_with(field + " must be a number"));
        }
        refusal_of(R"({"Version":1,"Routes":[],"Services":[],"Limits":null})");
    }

    void largest_and_whole_real_numbers_are_parsed() {
        const auto largest = parse_configuration(with_route("unique", "4294967295"));
        CPPUNIT_ASSERT(largest.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4'294'967'295}, largest->routes.front().timeout_ms);
        const auto real = parse_configuration(with_route("unique", "1500.0"));
        CPPUNIT_ASSERT(real.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1500}, real->routes.front().timeout_ms);
        const auto negative = parse_configuration(with_field("Route.Priority", "-2147483648"));
        CPPUNIT_ASSERT(negative.has_value());
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::int32_t>::min(),
                             negative->routes.front().priority);
        const auto size =
            parse_configuration(with_field("Engine.KvCapacity", "18446744073709551615"));
        CPPUNIT_ASSERT(size.has_value());
        CPPUNIT_ASSERT_EQUAL(std::numeric_limits<std::uint64_t>::max(),
                             size->services.front().cache_tokens);
    }

    /// Returns `text` with the field `name` renamed everywhere, so that it is missing.
    static std::string without(std::string text, const std::string& name) {
        const std::string quoted = "\"" + name + "\"";
        for (std::size_t at = text.find(quoted); at != std::string::npos; at = text.find(quoted)) {
            text.replace(at, quoted.size(), "\"Other\"");
        }
        return text;
    }

    void missing_required_fields_are_rejected() {
        for (const std::string name : {"Version", "Routes", "Services", "Name", "Hostname",
                                       "PathPrefix", "Type", "TimeoutMs", "Weight"}) {
            const std::string reason = refusal_of(without(complete_configuration, name));
            CPPUNIT_ASSERT_MESSAGE(reason, reason.find("'" + name + "'") != std::string::npos);
        }
    }

    void replica_list_page_is_parsed() {
        const auto page = replica_list().read_list(
            R"({"Instances":[{"Service":"large","Address":"10.0.0.1:80","Zone":"zone-a","Slots":12,)"
            R"("Version":"v1","ColdRemainingMs":0,"State":"draining","Id":"i-1"},)"
            R"({"Service":"small","Address":"10.0.0.2:81","Zone":"zone-b","Slots":1,)"
            R"("Version":"v2","ColdRemainingMs":900,"State":"ready","Id":"i-2"}],)"
            R"("NextPageToken":"p-50"})");
        CPPUNIT_ASSERT(page.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("p-50"), page->next_token);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page->backends.size());
        discovery::listed_backend first;
        first.service = "large";
        first.member.name = "i-1";
        first.member.kind = scheduling::backend_kind::engine;
        first.member.address = "10.0.0.1:80";
        first.member.zone = "zone-a";
        first.member.variant = "v1";
        first.member.slots = 12;
        first.member.leaving = true;
        first.member.listed_only = true;
        CPPUNIT_ASSERT(page->backends[0] == first);
        discovery::listed_backend second;
        second.service = "small";
        second.member.name = "i-2";
        second.member.address = "10.0.0.2:81";
        second.member.zone = "zone-b";
        second.member.variant = "v2";
        second.member.slots = 1;
        second.member.listed_only = true;
        CPPUNIT_ASSERT(page->backends[1] == second);
    }

    static discovery::backend_page page_with_state(const std::string& state) {
        const auto page = replica_list().read_list(
            R"({"Instances":[{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":1,)"
            R"("Version":"v1","ColdRemainingMs":0,"Id":"i","State":")" +
            state + "\"}]}");
        CPPUNIT_ASSERT(page.has_value());
        return *page;
    }

    void replica_states_are_parsed() {
        CPPUNIT_ASSERT(!page_with_state("ready").backends.front().member.leaving);
        CPPUNIT_ASSERT(page_with_state("draining").backends.front().member.leaving);
        const discovery::backend_page unknown = page_with_state("anything else");
        CPPUNIT_ASSERT(unknown.backends.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("i"), unknown.rejected.front().name);
    }

    void page_tokens_are_sent_and_parsed() {
        CPPUNIT_ASSERT_EQUAL(std::string("/instances"), replica_list().list_target(""));
        CPPUNIT_ASSERT_EQUAL(std::string("/instances?PageToken=p-50"),
                             replica_list().list_target("p-50"));
        for (const std::string end : {"", R"(,"NextPageToken":null)", R"(,"NextPageToken":7)"}) {
            const auto last = replica_list().read_list(R"({"Instances":[])" + end + "}");
            CPPUNIT_ASSERT(last.has_value() && last->next_token.empty());
        }
    }

    void missing_required_replica_fields_are_rejected() {
        const std::string page =
            R"({"Instances":[{"Service":"s","Address":"10.0.0.1:80","Id":"i","Zone":"z",)"
            R"("Slots":1,"Version":"v1","State":"ready","ColdRemainingMs":0}]})";
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replica_list().read_list(page)->backends.size());
        const auto without_list = replica_list().read_list(without(page, "Instances"));
        CPPUNIT_ASSERT(!without_list.has_value());
        CPPUNIT_ASSERT(without_list.error().find("'Instances'") != std::string::npos);
        for (const std::string name :
             {"Service", "Address", "Id", "Zone", "Slots", "Version", "State", "ColdRemainingMs"}) {
            const auto read = replica_list().read_list(without(page, name));
            CPPUNIT_ASSERT_MESSAGE(name, read.has_value() && read->backends.empty());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->rejected.size());
            const std::string& reason = read->rejected.front().reason;
            CPPUNIT_ASSERT_MESSAGE(reason, reason.find("'" + name + "'") != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_format_fixture_test);

}  // namespace tallyfold::tests
