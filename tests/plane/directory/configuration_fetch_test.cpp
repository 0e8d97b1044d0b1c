#include "tallyfold/plane/directory/configuration_fetch.hpp"

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/directory/configuration_proofs.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

class configuration_fetch_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_fetch_test);
    CPPUNIT_TEST(fetches_full_configuration_when_none_is_held);
    CPPUNIT_TEST(fetches_difference_from_held_version);
    CPPUNIT_TEST(only_one_fetch_is_pending);
    CPPUNIT_TEST(fetch_resumes_at_another_node_after_timeout);
    CPPUNIT_TEST(lost_connection_cancels_pending_request);
    CPPUNIT_TEST(newer_version_does_not_restart_fetch);
    CPPUNIT_TEST(full_configuration_follows_mismatched_difference);
    CPPUNIT_TEST(corrupt_parts_are_rejected);
    CPPUNIT_TEST(converges_to_newest_version_in_any_order);
    CPPUNIT_TEST(proof_takes_effect_when_version_is_held);
    CPPUNIT_TEST(answer_without_pending_question_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    instant now_{std::chrono::seconds(1)};
    static constexpr duration part_timeout = std::chrono::milliseconds(400);

    /// A configuration whose routes do not compress well, so that it is sent in several parts.
    static configuration_pointer make_configuration(routing::configuration_version version,
                                                    std::size_t routes) {
        random_source random(5);
        routing::configuration made;
        made.version = version;
        for (std::size_t number = 0; number < routes; ++number) {
            routing::route route;
            route.host = std::to_string(random.next()) + std::to_string(random.next());
            route.prefix = "/" + std::to_string(random.next()) + "/";
            made.routes.push_back(std::move(route));
        }
        return std::make_shared<const routing::configuration>(std::move(made));
    }

    /// Fetches all parts of a content from `source`.
    /// @return number of parts received
    int fetch_all_parts(configuration_fetch& fetch, const node_name& node,
                        configuration_source& source,
                        std::optional<configuration_request> request) {
        int parts = 0;
        while (request) {
            ++parts;
            request = fetch.receive(node, source.answer(*request), now_).next;
        }
        return parts;
    }

    void fetches_full_configuration_when_none_is_held() {
        configuration_source source;
        source.publish(make_configuration(3, 3'000));
        configuration_fetch fetch;
        const int parts =
            fetch_all_parts(fetch, "a", source, fetch.on_version_report("a", 3, now_));
        CPPUNIT_ASSERT(parts > 1);
        CPPUNIT_ASSERT(*fetch.held() == *make_configuration(3, 3'000));
        CPPUNIT_ASSERT(!fetch.on_version_report("b", 3, now_).has_value());
    }

    void fetches_difference_from_held_version() {
        configuration_source source;
        configuration_fetch fetch;
        source.publish(make_configuration(3, 3'000));
        fetch_all_parts(fetch, "a", source, fetch.on_version_report("a", 3, now_));
        source.publish(make_configuration(5, 3'001));
        CPPUNIT_ASSERT_EQUAL(
            1, fetch_all_parts(fetch, "b", source, fetch.on_version_report("b", 5, now_)));
        CPPUNIT_ASSERT(*fetch.held() == *make_configuration(5, 3'001));
        // The held version is older than those kept, so the full configuration is sent.
        for (routing::configuration_version version = 6; version < 12; ++version) {
            source.publish(make_configuration(version, 3'000));
        }
        CPPUNIT_ASSERT(fetch_all_parts(fetch, "c", source, fetch.on_version_report("c", 11, now_)) >
                       1);
        CPPUNIT_ASSERT(*fetch.held() == *make_configuration(11, 3'000));
    }

    void only_one_fetch_is_pending() {
        configuration_fetch fetch;
        CPPUNIT_ASSERT(fetch.on_version_report("a", 3, now_).has_value());
        now_ += part_timeout / 2;
        CPPUNIT_ASSERT(!fetch.on_version_report("b", 3, now_).has_value());
        CPPUNIT_ASSERT(!fetch.on_version_report("a", 4, now_).has_value());
    }

    void fetch_resumes_at_another_node_after_timeout() {
        configuration_source one;
        configuration_source other;
        one.publish(make_configuration(3, 3'000));
        other.publish(make_configuration(3, 3'000));
        configuration_fetch fetch;
        const auto first = fetch.on_version_report("a", 3, now_);
        const auto second = fetch.receive("a", one.answer(*first), now_).next;
        CPPUNIT_ASSERT(second->offset > 0);
        now_ += part_timeout;
        const auto again = fetch.on_version_report("b", 3, now_);
        CPPUNIT_ASSERT(again.has_value());
        CPPUNIT_ASSERT_EQUAL(second->offset, again->offset);
        // A late part from the first node is ignored.
        CPPUNIT_ASSERT(!fetch.receive("a", one.answer(*second), now_).next.has_value());
        fetch_all_parts(fetch, "b", other, again);
        CPPUNIT_ASSERT(*fetch.held() == *make_configuration(3, 3'000));
    }

    void lost_connection_cancels_pending_request() {
        configuration_fetch fetch;
        fetch.on_version_report("a", 3, now_);
        fetch.on_disconnect("b");
        CPPUNIT_ASSERT(!fetch.on_version_report("b", 3, now_).has_value());
        fetch.on_disconnect("a");
        CPPUNIT_ASSERT(fetch.on_version_report("b", 3, now_).has_value());
    }

    void newer_version_does_not_restart_fetch() {
        configuration_source source;
        source.publish(make_configuration(3, 3'000));
        configuration_fetch fetch;
        auto request = fetch.on_version_report("a", 3, now_);
        routing::configuration_version version = 3;
        while (request) {
            // A newer version is published with each part.
            source.publish(make_configuration(++version, 3'000));
            request = fetch.receive("a", source.answer(*request), now_).next;
        }
        CPPUNIT_ASSERT(fetch.version() >= 3);
        CPPUNIT_ASSERT_EQUAL(
            1, fetch_all_parts(fetch, "a", source, fetch.on_version_report("a", version, now_)));
        CPPUNIT_ASSERT_EQUAL(version, fetch.version());
    }

    void full_configuration_follows_mismatched_difference() {
        configuration_source one;
        configuration_fetch fetch;
        one.publish(make_configuration(3, 10));
        fetch_all_parts(fetch, "a", one, fetch.on_version_report("a", 3, now_));
        // A different configuration with the version number that the node holds.
        configuration_source other;
        other.publish(make_configuration(3, 11));
        other.publish(make_configuration(4, 12));
        const auto request = fetch.on_version_report("b", 4, now_);
        const auto progress = fetch.receive("b", other.answer(*request), now_);
        CPPUNIT_ASSERT(progress.problem.has_value());
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{3}, fetch.version());
        const auto whole = fetch.on_version_report("b", 4, now_);
        CPPUNIT_ASSERT(whole->whole);
        fetch_all_parts(fetch, "b", other, whole);
        CPPUNIT_ASSERT(*fetch.held() == *make_configuration(4, 12));
    }

    void corrupt_parts_are_rejected() {
        check_property("corrupt parts never change what is held nor block the fetch", [this] {
            configuration_source source;
            source.publish(make_configuration(3, 500));
            configuration_fetch fetch;
            auto request = fetch.on_version_report("a", 3, now_);
            for (int count = 0; count < 20; ++count) {
                configuration_part part = source.answer(request.value_or(configuration_request{}));
                switch (*rc::gen::inRange(0, 5)) {
                    case 0:
                        part.offset = *rc::gen::arbitrary<std::uint64_t>();
                        break;
                    case 1:
                        part.size = *rc::gen::arbitrary<std::uint64_t>();
                        break;
                    case 2:
                        part.bytes = *any_bytes();
                        break;
                    case 3:
                        part.content = *rc::gen::arbitrary<std::uint64_t>();
                        break;
                    default:
                        break;
                }
                request = fetch.receive("a", part, now_).next;
                if (!request) {
                    request = fetch.on_version_report("a", 3, now_);
                }
                RC_ASSERT(fetch.version() == 0 || *fetch.held() == *make_configuration(3, 500));
            }
            now_ += part_timeout;
            fetch_all_parts(fetch, "b", source, fetch.on_version_report("b", 3, now_));
            fetch_all_parts(fetch, "b", source, fetch.on_version_report("b", 3, now_));
            RC_ASSERT(*fetch.held() == *make_configuration(3, 500));
        });
    }

    void converges_to_newest_version_in_any_order() {
        check_property("newest version wins when nodes lag, are silent or disconnect", [this] {
            std::vector<configuration_source> sources(3);
            std::vector<routing::configuration_version> published(3, 0);
            configuration_fetch fetch;
            std::optional<configuration_request> request;
            std::size_t requested_node = 0;
            routing::configuration_version newest = 0;
            for (int count = 0; count < 60; ++count) {
                const auto node = static_cast<std::size_t>(*rc::gen::inRange(0, 3));
                const node_name name(1, static_cast<char>('a' + node));
                now_ += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
                const routing::configuration_version before = fetch.version();
                switch (*rc::gen::inRange(0, 4)) {
                    case 0:
                        published[node] = std::max(published[node], ++newest);
                        sources[node].publish(
                            make_configuration(published[node], 400 + newest % 7));
                        break;
                    case 1:
                        if (auto next = fetch.on_version_report(name, published[node], now_)) {
                            request = next;
                            requested_node = node;
                        }
                        break;
                    case 2:
                        fetch.on_disconnect(name);
                        break;
                    default:
                        if (request) {
                            const node_name from(1, static_cast<char>('a' + requested_node));
                            request =
                                fetch.receive(from, sources[requested_node].answer(*request), now_)
                                    .next;
                        }
                        break;
                }
                RC_ASSERT(fetch.version() >= before);
            }
            sources[0].publish(make_configuration(++newest, 400));
            for (int count = 0; count < 3; ++count) {
                now_ += part_timeout;
                fetch_all_parts(fetch, "a", sources[0], fetch.on_version_report("a", newest, now_));
            }
            RC_ASSERT(fetch.version() == newest);
        });
    }

    void proof_takes_effect_when_version_is_held() {
        configuration_proofs proofs;
        proofs.set_held_version(3);
        const std::uint64_t first = proofs.start_question(now_);
        now_ += std::chrono::milliseconds(10);
        const std::uint64_t second = proofs.start_question(now_);
        proofs.on_answer("a", second, 4);
        CPPUNIT_ASSERT(proofs.newest().node.empty());
        proofs.on_answer("b", first, 3);
        CPPUNIT_ASSERT_EQUAL(node_name("b"), proofs.newest().node);
        proofs.set_held_version(4);
        CPPUNIT_ASSERT_EQUAL(node_name("a"), proofs.newest().node);
        CPPUNIT_ASSERT(proofs.newest().requested_at == now_);
    }

    void answer_without_pending_question_is_ignored() {
        configuration_proofs proofs;
        proofs.set_held_version(3);
        proofs.on_answer("a", 1, 3);
        proofs.on_answer("a", 0, 3);
        CPPUNIT_ASSERT(proofs.newest().node.empty());
        const std::uint64_t question = proofs.start_question(now_);
        CPPUNIT_ASSERT(question > 0);
        proofs.on_answer("a", question, 3);
        proofs.on_answer("b", question, 3);
        CPPUNIT_ASSERT_EQUAL(node_name("a"), proofs.newest().node);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_fetch_test);

}  // namespace tallyfold::tests
