#include "tallyfold/plane/decisions/backend_selection.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;
using scheduling::backend_member;

/// Tests the order of the selection rules and of their candidate lists.
class backend_selection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_selection_test);
    CPPUNIT_TEST(the_first_send_to_an_engine_uses_placement);
    CPPUNIT_TEST(a_retry_selects_an_untried_back_end_by_load);
    CPPUNIT_TEST(a_refused_placement_falls_back_to_load);
    CPPUNIT_TEST(an_object_is_sent_to_its_affinity_target);
    CPPUNIT_TEST(disabled_object_affinity_selects_by_load);
    CPPUNIT_TEST(at_most_once_calls_prefer_trusted_back_ends);
    CPPUNIT_TEST(at_most_once_calls_fall_back_to_distrusted_back_ends);
    CPPUNIT_TEST(ejected_back_ends_are_selected_last);
    CPPUNIT_TEST(excluded_back_ends_are_never_selected);
    CPPUNIT_TEST(a_resumed_stream_goes_to_its_version_only);
    CPPUNIT_TEST(unknown_version_matches_no_back_end);
    CPPUNIT_TEST(a_leaving_back_end_continues_streams_for_a_short_time);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant now{std::chrono::seconds(50)};
    static constexpr std::size_t size = 4;

    /// A service of four back ends with the dependencies of the selector.
    struct service {
        explicit service(settings::disabled_mechanisms off = {})
            : selector("zone", scheduling::strategy::policy, std::move(off)) {
            members.resize(size);
            for (std::size_t index = 0; index < size; ++index) {
                members[index].name = "b" + std::to_string(index);
                members[index].address = "10.0.0.1:" + std::to_string(8000 + index);
                members[index].slots = 1;
                members[index].listed_only = true;
            }
            pool.update(members);
            subset.update(members);
        }
        std::optional<chosen_backend> select(const selection_request& question) {
            const selection_state state{pool, subset, reported, pace, cache};
            return selector.select(question, state, random, now);
        }

        std::vector<backend_member> members;
        scheduling::backend_pool pool;
        backend_subset subset{1};
        reported_failures reported;
        scheduling::engine_pace pace;
        scheduling::cache_map cache;
        random_source random{1};
        backend_selector selector;
    };

    static selection_request engine_call() {
        selection_request question;
        question.is_engine = true;
        question.program = "program";
        return question;
    }
    static selection_request plain_call(bool repeatable) {
        selection_request question;
        question.repeatable = repeatable;
        return question;
    }

    void the_first_send_to_an_engine_uses_placement() {
        service engines;
        const chosen_backend chosen = *engines.select(engine_call());
        CPPUNIT_ASSERT(chosen.rule == selection_rule::placement);
        CPPUNIT_ASSERT_EQUAL(scheduling::affinity_target("program", engines.pool, now),
                             chosen.name);
    }

    void a_retry_selects_an_untried_back_end_by_load() {
        service engines;
        selection_request question = engine_call();
        question.tried = {"b0", "b2", "b3"};
        const chosen_backend chosen = *engines.select(question);
        CPPUNIT_ASSERT(chosen.rule == selection_rule::less_loaded_of_two);
        CPPUNIT_ASSERT_EQUAL(std::string("b1"), chosen.name);
        question.tried.insert("b1");
        CPPUNIT_ASSERT(!engines.select(question));
    }

    void a_refused_placement_falls_back_to_load() {
        service engines;
        for (const backend_member& member : engines.members) {
            engines.pool.started(member.name, 0);
        }
        CPPUNIT_ASSERT(engines.select(engine_call())->rule == selection_rule::less_loaded_of_two);
    }

    void an_object_is_sent_to_its_affinity_target() {
        service plain;
        selection_request question = plain_call(true);
        question.object = "object";
        const chosen_backend chosen = *plain.select(question);
        CPPUNIT_ASSERT(chosen.rule == selection_rule::affinity_target);
        for (int count = 0; count < 20; ++count) {
            CPPUNIT_ASSERT_EQUAL(chosen.name, plain.select(question)->name);
        }
        plain.pool.unreachable(chosen.name, now);
        CPPUNIT_ASSERT(plain.select(question)->name != chosen.name);
    }

    void disabled_object_affinity_selects_by_load() {
        settings::disabled_mechanisms off;
        off.add("object_home");
        service plain(off);
        selection_request question = plain_call(true);
        question.object = "object";
        CPPUNIT_ASSERT(plain.select(question)->rule == selection_rule::less_loaded_of_two);
    }

    void at_most_once_calls_prefer_trusted_back_ends() {
        service plain;
        plain.reported.record("b0", now);
        plain.reported.record("b1", now);
        for (int count = 0; count < 50; ++count) {
            const chosen_backend chosen = *plain.select(plain_call(false));
            CPPUNIT_ASSERT(chosen.name == "b2" || chosen.name == "b3");
            CPPUNIT_ASSERT(chosen.accepted_eligibility == backend_eligibility::trusted);
        }
        CPPUNIT_ASSERT(plain.select(plain_call(true))->accepted_eligibility ==
                       backend_eligibility::distrusted);
    }

    void at_most_once_calls_fall_back_to_distrusted_back_ends() {
        service plain;
        plain.reported.record("b0", now);
        selection_request question = plain_call(false);
        question.tried = {"b1", "b2", "b3"};
        const chosen_backend chosen = *plain.select(question);
        CPPUNIT_ASSERT_EQUAL(std::string("b0"), chosen.name);
        CPPUNIT_ASSERT(chosen.accepted_eligibility == backend_eligibility::distrusted);
    }

    void ejected_back_ends_are_selected_last() {
        service plain;
        plain.pool.unreachable("b0", now);
        selection_request question = plain_call(true);
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(plain.select(question)->name != "b0");
        }
        question.tried = {"b1", "b2", "b3"};
        const chosen_backend chosen = *plain.select(question);
        CPPUNIT_ASSERT_EQUAL(std::string("b0"), chosen.name);
        CPPUNIT_ASSERT(chosen.accepted_eligibility == backend_eligibility::unavailable);
    }

    void excluded_back_ends_are_never_selected() {
        service plain;
        plain.pool.set_drained("b0", true);
        selection_request question = plain_call(true);
        question.tried = {"b1", "b2", "b3"};
        CPPUNIT_ASSERT(!plain.select(question));
    }

    static selection_request resumed_call(const std::string& version) {
        selection_request question = engine_call();
        question.version = version;
        return question;
    }

    /// Draws versions and states of all back ends, except for those of members.
    static void draw_states(service& engines) {
        for (backend_member& member : engines.members) {
            member.variant = *rc::gen::element<std::string>("", "v1", "v2");
            engines.pool.insert(member, now - std::chrono::seconds(9));
            member.leaving = *rc::gen::arbitrary<bool>();
            engines.pool.insert(member,
                                now - std::chrono::milliseconds(*rc::gen::inRange(0, 2'000)));
            engines.pool.set_drained(member.name, *rc::gen::inRange(0, 4) == 0);
            engines.pool.set_evacuated(member.name, *rc::gen::inRange(0, 4) == 0);
            if (*rc::gen::arbitrary<bool>()) {
                engines.pool.unreachable(member.name, now);
            }
            if (*rc::gen::arbitrary<bool>()) {
                engines.reported.record(member.name, now);
            }
            if (*rc::gen::arbitrary<bool>()) {
                engines.pool.started(member.name, 10);
            }
        }
    }

    void a_resumed_stream_goes_to_its_version_only() {
        check_property("a call that requires a version gets it, if any usable one is left", [] {
            service engines;
            draw_states(engines);
            selection_request question = resumed_call("v1");
            question.tried = *rc::gen::container<std::set<std::string>>(
                rc::gen::element<std::string>("b0", "b1", "b2", "b3"));
            const auto chosen = engines.select(question);
            bool has_usable = false;
            for (const auto& [name, engine] : engines.pool.all()) {
                has_usable = has_usable || (engine.member.variant == "v1" && !engine.leaving() &&
                                            !question.tried.contains(name));
            }
            RC_ASSERT(chosen || !has_usable);
            if (chosen) {
                const scheduling::backend_state& engine = *engines.pool.find(chosen->name);
                RC_ASSERT(engine.member.variant == "v1");
                RC_ASSERT(chosen->version == "v1");
                RC_ASSERT(!question.tried.contains(chosen->name));
                RC_ASSERT(!engine.drained && !engine.evacuated);
                RC_ASSERT(!engine.leaving() || !has_usable);
                RC_ASSERT(chosen->rule == selection_rule::required_version);
            }
        });
    }

    void unknown_version_matches_no_back_end() {
        service engines;
        CPPUNIT_ASSERT(!engines.select(resumed_call("")));
        CPPUNIT_ASSERT(!engines.select(resumed_call("v1")));
        CPPUNIT_ASSERT(engines.select(engine_call()));
    }

    void a_leaving_back_end_continues_streams_for_a_short_time() {
        using std::chrono::milliseconds;
        for (const auto& [age, usable] :
             {std::pair(milliseconds(0), true), std::pair(milliseconds(999), true),
              std::pair(milliseconds(1'000), false)}) {
            service engines;
            backend_member member = engines.members.front();
            member.variant = "v1";
            engines.pool.insert(member, now - std::chrono::seconds(9));
            member.leaving = true;
            engines.pool.insert(member, now - age);
            CPPUNIT_ASSERT_EQUAL(usable, engines.select(resumed_call("v1")).has_value());
        }
        service engines;
        backend_member leaving_from_the_start = engines.members.front();
        leaving_from_the_start.name = "b9";
        leaving_from_the_start.variant = "v1";
        leaving_from_the_start.leaving = true;
        engines.pool.insert(leaving_from_the_start, now);
        CPPUNIT_ASSERT(!engines.select(resumed_call("v1")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_selection_test);

}  // namespace tallyfold::tests
