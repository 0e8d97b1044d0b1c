#include "tallyfold/plane/dispatch/place_ledger.hpp"

#include <map>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;

class place_ledger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(place_ledger_test);
    CPPUNIT_TEST(calls_spread_over_equal_engines);
    CPPUNIT_TEST(a_full_engine_gets_no_call_while_another_has_a_slot);
    CPPUNIT_TEST(an_engine_without_room_in_its_cache_gets_no_call);
    CPPUNIT_TEST(a_call_larger_than_the_cache_runs_alone);
    CPPUNIT_TEST(a_call_goes_where_its_prompt_is_cached);
    CPPUNIT_TEST(an_absurd_holder_gives_at_most_the_prompt);
    CPPUNIT_TEST(a_fast_engine_is_preferred);
    CPPUNIT_TEST(without_learned_speeds_engines_count_as_equal);
    CPPUNIT_TEST(excluded_leaving_and_ejected_engines_get_no_call);
    CPPUNIT_TEST(beyond_the_slots_the_engine_with_the_fewest_calls_for_its_speed_is_chosen);
    CPPUNIT_TEST(calls_at_an_engine_that_left_stay_until_they_end);
    CPPUNIT_TEST(nothing_is_learned_of_an_engine_that_left);
    CPPUNIT_TEST(positions_of_engines_that_left_are_used_again);
    CPPUNIT_TEST(a_replaced_engine_is_not_assumed_to_hold_prefixes);
    CPPUNIT_TEST(a_listed_twice_engine_has_its_slots_once);
    CPPUNIT_TEST(a_call_that_was_not_sent_leaves_no_pending_prefill);
    CPPUNIT_TEST(absurd_observations_do_not_shut_an_engine_out);
    CPPUNIT_TEST(a_lease_ends_unless_it_is_renewed);
    CPPUNIT_TEST(counts_equal_the_registered_calls);
    CPPUNIT_TEST(a_call_finds_no_engine_only_when_none_has_room);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) {
        return instant(std::chrono::milliseconds(100'000 + milliseconds));
    }
    static scheduling::backend_member engine(const backend_name& name, std::uint32_t slots = 2) {
        scheduling::backend_member member;
        member.name = name;
        member.address = name + ":80";
        member.zone = "zone";
        member.slots = slots;
        member.listed_only = true;
        return member;
    }
    static placement_question question(token_count prompt = 1'000, token_count longest = 100) {
        placement_question asked;
        asked.zone = "zone";
        asked.prompt_tokens = prompt;
        asked.max_tokens = longest;
        return asked;
    }
    static call_end answered(int token_ms) {
        return {release_outcome::answered, 100, 10, std::chrono::milliseconds(20),
                std::chrono::milliseconds(10 * token_ms)};
    }
    /// Lets each engine answer calls with the given time for a token.
    static void teach(place_ledger& ledger, const backend_name& name, int token_ms) {
        for (call_number call = 0; call < 20; ++call) {
            ledger.start({9, call}, name, {100, 100, 0, 0}, at(0));
            ledger.finish({9, call}, answered(token_ms), at(0));
        }
    }
    static backend_name chosen(const place_ledger& ledger, const placement_question& asked,
                               instant now) {
        const auto placed = ledger.choose(asked, now);
        return placed ? placed->engine : backend_name{};
    }

    void calls_spread_over_equal_engines() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("b"), engine("c")}, 0);
        for (call_number call = 0; call < 3; ++call) {
            ledger.start({1, call}, chosen(ledger, question(), at(0)), {1'100, 100, 1'000, 0},
                         at(0));
        }
        for (const char* name : {"a", "b", "c"}) {
            CPPUNIT_ASSERT_EQUAL(1U, ledger.running_at(name));
        }
    }

    /// Guards against calls that queue at an engine while a slot is free elsewhere.
    void a_full_engine_gets_no_call_while_another_has_a_slot() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("b", 1)}, 0);
        teach(ledger, "a", 1);
        teach(ledger, "b", 50);
        ledger.start({1, 1}, "a", {10, 10, 0, 0}, at(0));
        ledger.start({1, 2}, "a", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name("b"), chosen(ledger, question(), at(0)));
        ledger.start({1, 3}, "b", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name(), chosen(ledger, question(), at(0)));
    }

    /// Guards against preempted requests: an engine whose cache is full preempts running ones.
    void an_engine_without_room_in_its_cache_gets_no_call() {
        place_ledger ledger;
        ledger.set_engines({engine("a", 6)}, 2'000);
        ledger.start({1, 1}, "a", {901, 100, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name(), chosen(ledger, question(), at(0)));
        CPPUNIT_ASSERT_EQUAL(backend_name("a"), chosen(ledger, question(999), at(0)));
    }

    void a_call_larger_than_the_cache_runs_alone() {
        place_ledger ledger;
        ledger.set_engines({engine("a", 6)}, 2'000);
        CPPUNIT_ASSERT_EQUAL(backend_name("a"), chosen(ledger, question(5'000), at(0)));
        ledger.start({1, 1}, "a", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name(), chosen(ledger, question(5'000), at(0)));
    }

    void a_call_goes_where_its_prompt_is_cached() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("b"), engine("c")}, 0);
        const std::vector<scheduling::prefix_point> prompt{{1, 500}, {2, 1'000}};
        ledger.record_cached("b", prompt);
        placement_question asked = question();
        asked.prompt = &prompt;
        auto placed = ledger.choose(asked, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name("b"), placed->engine);
        CPPUNIT_ASSERT_EQUAL(token_count{1'000}, placed->cached_tokens);
        const std::vector<scheduling::cached_prefix> holders{{"c", 2, 1'000}};
        asked.prompt = nullptr;
        asked.holders = &holders;
        CPPUNIT_ASSERT_EQUAL(backend_name("c"), chosen(ledger, asked, at(0)));
    }

    void an_absurd_holder_gives_at_most_the_prompt() {
        place_ledger ledger;
        ledger.set_engines({engine("a")}, 0);
        const std::vector<scheduling::cached_prefix> holders{{"a", 2, ~token_count{0}},
                                                             {"unknown", 2, 5}};
        placement_question asked = question();
        asked.holders = &holders;
        CPPUNIT_ASSERT_EQUAL(token_count{1'000}, ledger.choose(asked, at(0))->cached_tokens);
    }

    void a_fast_engine_is_preferred() {
        place_ledger ledger;
        ledger.set_engines({engine("a", 6), engine("b", 6)}, 0);
        teach(ledger, "a", 4);
        teach(ledger, "b", 2);
        CPPUNIT_ASSERT_EQUAL(backend_name("b"), chosen(ledger, question(), at(0)));
    }

    void without_learned_speeds_engines_count_as_equal() {
        place_ledger ledger(false);
        ledger.set_engines({engine("a", 6), engine("b", 6)}, 0);
        teach(ledger, "a", 4);
        teach(ledger, "b", 2);
        CPPUNIT_ASSERT_EQUAL(backend_name("a"), chosen(ledger, question(), at(0)));
    }

    void excluded_leaving_and_ejected_engines_get_no_call() {
        place_ledger ledger;
        auto leaving = engine("b");
        leaving.leaving = true;
        ledger.set_engines({engine("a"), leaving, engine("c"), engine("d")}, 0);
        CPPUNIT_ASSERT_EQUAL(6U, ledger.room().slots);
        const std::vector<backend_name> excluded{"a"};
        placement_question asked = question();
        asked.excluded = &excluded;
        for (call_number call = 0; call < 3; ++call) {
            ledger.start({1, call}, "c", {10, 10, 0, 0}, at(0));
            ledger.finish({1, call}, {release_outcome::failed, 0, 0, {}, {}}, at(0));
        }
        CPPUNIT_ASSERT_EQUAL(backend_name("d"), chosen(ledger, asked, at(0)));
        CPPUNIT_ASSERT_EQUAL(backend_name("d"), ledger.choose_beyond_slots(asked, at(0))->engine);
        const std::vector<backend_name> all{"a", "c", "d"};
        asked.excluded = &all;
        CPPUNIT_ASSERT(!ledger.choose(asked, at(0)));
        CPPUNIT_ASSERT(!ledger.choose_beyond_slots(asked, at(0)));
    }

    void beyond_the_slots_the_engine_with_the_fewest_calls_for_its_speed_is_chosen() {
        place_ledger ledger;
        ledger.set_engines({engine("fast", 1), engine("slow", 1)}, 0);
        teach(ledger, "fast", 2);
        teach(ledger, "slow", 5);
        ledger.start({1, 1}, "fast", {10, 10, 0, 0}, at(0));
        ledger.start({1, 2}, "slow", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name("fast"),
                             ledger.choose_beyond_slots(question(), at(0))->engine);
        ledger.start({1, 3}, "fast", {10, 10, 0, 0}, at(0));
        ledger.start({1, 4}, "fast", {10, 10, 0, 0}, at(0));
        ledger.start({1, 5}, "fast", {10, 10, 0, 0}, at(0));
        ledger.start({1, 6}, "fast", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name("slow"),
                             ledger.choose_beyond_slots(question(), at(0))->engine);
    }

    /// Guards against counts that fall below zero, or are lost, when an engine leaves while its
    /// calls run and returns later.
    void calls_at_an_engine_that_left_stay_until_they_end() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("b")}, 0);
        ledger.start({1, 1}, "a", {10, 10, 0, 0}, at(0));
        ledger.set_engines({engine("b")}, 0);
        CPPUNIT_ASSERT(!ledger.has_engine("a"));
        CPPUNIT_ASSERT(ledger.renew({1, 1}, at(100)));
        CPPUNIT_ASSERT_EQUAL(backend_name("b"), chosen(ledger, question(), at(100)));
        ledger.set_engines({engine("a"), engine("b")}, 0);
        CPPUNIT_ASSERT_EQUAL(1U, ledger.running_at("a"));
        CPPUNIT_ASSERT(ledger.finish({1, 1}, answered(3), at(200)));
        CPPUNIT_ASSERT_EQUAL(0U, ledger.running_at("a"));
        CPPUNIT_ASSERT_EQUAL(0U, ledger.room().running);
        ledger.set_engines({}, 0);
        CPPUNIT_ASSERT(!ledger.has_engines());
        CPPUNIT_ASSERT(!ledger.choose(question(), at(300)));
    }

    /// Guards against estimates that are kept for each engine that ever left.
    void nothing_is_learned_of_an_engine_that_left() {
        place_ledger ledger;
        ledger.set_engines({engine("left")}, 0);
        ledger.start({1, 1}, "left", {100, 100, 0, 0}, at(0));
        ledger.set_engines({engine("new")}, 0);
        CPPUNIT_ASSERT(ledger.finish({1, 1}, answered(90), at(10)).has_value());
        CPPUNIT_ASSERT(ledger.speed().idle_token_time("left") == duration::zero());
        CPPUNIT_ASSERT(ledger.speed().idle_token_time("new") == duration::zero());
    }

    /// Guards against decisions whose work grows with the number of engines that ever left.
    void positions_of_engines_that_left_are_used_again() {
        place_ledger ledger;
        for (int number = 0; number < 100; ++number) {
            const backend_name name = "engine-" + std::to_string(number);
            ledger.set_engines({engine(name)}, 0);
            CPPUNIT_ASSERT_EQUAL(engine_position{0}, ledger.position_of(name));
        }
        // Not while a call runs there.
        ledger.start({1, 1}, "engine-99", {100, 100, 0, 0}, at(0));
        ledger.set_engines({engine("a")}, 0);
        CPPUNIT_ASSERT_EQUAL(engine_position{1}, ledger.position_of("a"));
        CPPUNIT_ASSERT_EQUAL(1U, ledger.running_at("engine-99"));
        CPPUNIT_ASSERT_EQUAL(0U, ledger.running_at("a"));
        CPPUNIT_ASSERT(ledger.finish({1, 1}, answered(3), at(10)).has_value());
        ledger.set_engines({engine("b")}, 0);
        CPPUNIT_ASSERT(ledger.position_of("b") <= 1);
        CPPUNIT_ASSERT_EQUAL(0U, ledger.running_at("b"));
    }

    void a_replaced_engine_is_not_assumed_to_hold_prefixes() {
        place_ledger ledger;
        ledger.set_engines({engine("a")}, 0);
        const std::vector<scheduling::prefix_point> prompt{{1, 1'000}};
        ledger.record_cached("a", prompt);
        auto replaced = engine("a");
        replaced.address = "other:80";
        ledger.set_engines({replaced}, 0);
        placement_question asked = question();
        asked.prompt = &prompt;
        CPPUNIT_ASSERT_EQUAL(token_count{0}, ledger.choose(asked, at(0))->cached_tokens);
    }

    void a_listed_twice_engine_has_its_slots_once() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("a")}, 0);
        CPPUNIT_ASSERT_EQUAL(2U, ledger.room().slots);
    }

    /// Guards against an idle engine that is avoided for minutes because callers of long prompts
    /// left before their calls were sent.
    void a_call_that_was_not_sent_leaves_no_pending_prefill() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("b")}, 0);
        ledger.start({1, 1}, "a", {10'000'000, 0, 10'000'000, 0}, at(0));
        ledger.finish({1, 1}, {}, at(1));
        CPPUNIT_ASSERT_EQUAL(backend_name("a"), chosen(ledger, question(), at(1)));
    }

    /// Guards against a conversion of a time that is too large, and against an engine that gets no
    /// calls any more after one absurd release.
    void absurd_observations_do_not_shut_an_engine_out() {
        place_ledger ledger;
        ledger.set_engines({engine("a"), engine("b")}, 0);
        teach(ledger, "a", 3);
        teach(ledger, "b", 3);
        constexpr std::uint32_t most = ~0U;
        const duration longest = std::chrono::microseconds(most);
        ledger.start({1, 1}, "a", {1'000, most, 1'000, 0}, at(0));
        ledger.finish({1, 1}, {release_outcome::answered, 1, most, longest, longest}, at(0));
        ledger.start({1, 2}, "a", {1'000, 1, 1'000, 0}, at(0));
        ledger.finish({1, 2}, {release_outcome::answered, most, 1, longest, duration(1)}, at(0));
        CPPUNIT_ASSERT(ledger.speed().prefill_time_per_token() < std::chrono::microseconds(20));
        const duration idle = ledger.speed().idle_token_time("a");
        CPPUNIT_ASSERT(idle > std::chrono::milliseconds(2) && idle < std::chrono::milliseconds(4));
        ledger.start({1, 3}, "b", {10, 10, 0, 0}, at(0));
        ledger.start({1, 4}, "b", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT_EQUAL(backend_name("a"), chosen(ledger, question(), at(0)));
    }

    void a_lease_ends_unless_it_is_renewed() {
        place_ledger ledger;
        ledger.set_engines({engine("a")}, 0);
        ledger.start({1, 1}, "a", {10, 10, 0, 0}, at(0));
        ledger.start({1, 2}, "a", {10, 10, 0, 0}, at(0));
        CPPUNIT_ASSERT(ledger.renew({1, 1}, at(1'000)));
        CPPUNIT_ASSERT(!ledger.renew({1, 3}, at(1'000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ledger.expire(at(1'999)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.expire(at(2'000)));
        CPPUNIT_ASSERT(ledger.engine_of({1, 2}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.expire(at(3'000)));
        CPPUNIT_ASSERT_EQUAL(0U, ledger.room().running);
    }

    /// Compares the ledger's counts with a plain list of the calls.
    void counts_equal_the_registered_calls() {
        check_property("counts equal those of the registered calls", [] {
            struct expected_call {
                backend_name engine;
                std::uint32_t tokens = 0;
                instant lease_ends{};
            };
            const std::vector<backend_name> names{"a", "b", "c", "d"};
            std::map<call_key, expected_call> expected;
            place_ledger ledger;
            ledger.set_engines({engine("a"), engine("b"), engine("c")}, 50'000);
            instant now = at(0);
            const int steps = *rc::gen::inRange(1, 150);
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
                const call_key key{*rc::gen::inRange(0U, 3U),
                                   *rc::gen::inRange<call_number>(0, 12)};
                const backend_name name = *rc::gen::elementOf(names);
                switch (*rc::gen::inRange(0, 7)) {
                    case 0:
                    case 1: {
                        const auto tokens = *rc::gen::inRange(0U, 20'000'000U);
                        const auto uncached = *rc::gen::inRange(0U, 10'000'000U);
                        ledger.start(key, name, {tokens, 100, uncached, 0}, now);
                        expected.try_emplace(key, name, tokens, now + lease_time);
                        break;
                    }
                    case 2: {
                        const call_end ended{
                            *rc::gen::element(release_outcome::answered, release_outcome::failed,
                                              release_outcome::not_sent),
                            *rc::gen::arbitrary<std::uint32_t>(),
                            *rc::gen::arbitrary<std::uint32_t>(),
                            duration(*rc::gen::arbitrary<std::uint32_t>()),
                            duration(*rc::gen::arbitrary<std::uint32_t>())};
                        const bool finished = ledger.finish(key, ended, now).has_value();
                        RC_ASSERT(finished == (expected.erase(key) == 1));
                        break;
                    }
                    case 3: {
                        const auto found = expected.find(key);
                        RC_ASSERT(ledger.renew(key, now) == (found != expected.end()));
                        if (found != expected.end()) {
                            found->second.lease_ends = now + lease_time;
                        }
                        break;
                    }
                    case 4:
                        RC_ASSERT(ledger.expire(now) == std::erase_if(expected, [&](auto& entry) {
                                      return entry.second.lease_ends <= now;
                                  }));
                        break;
                    case 5:
                        RC_ASSERT(ledger.finish_process(key.process) ==
                                  std::erase_if(expected, [&](auto& entry) {
                                      return entry.first.process == key.process;
                                  }));
                        break;
                    default:
                        ledger.set_engines({engine(name), engine("b", 0)}, 50'000);
                }
                std::map<backend_name, std::uint32_t> running;
                token_count tokens = 0;
                for (const auto& [call, value] : expected) {
                    ++running[value.engine];
                    tokens += value.tokens;
                    RC_ASSERT(ledger.engine_of(call) == value.engine);
                }
                for (const backend_name& each : names) {
                    RC_ASSERT(ledger.running_at(each) == running[each]);
                }
                RC_ASSERT(ledger.calls() == expected.size());
                RC_ASSERT(ledger.room().running == expected.size());
                RC_ASSERT(ledger.room().tokens == tokens);
            }
            ledger.expire(now + lease_time);
            RC_ASSERT(ledger.calls() == 0U);
            RC_ASSERT(ledger.room().running == 0U);
            RC_ASSERT(ledger.room().tokens == 0U);
        });
    }

    void a_call_finds_no_engine_only_when_none_has_room() {
        check_property("an engine is found if one has a free slot and room in its cache", [] {
            const token_count cache = *rc::gen::element<token_count>(0, 4'000);
            std::vector<scheduling::backend_member> engines;
            std::map<backend_name, std::pair<std::uint32_t, token_count>> used;
            for (const char* name : {"a", "b", "c"}) {
                engines.push_back(engine(name, *rc::gen::inRange(1U, 4U)));
            }
            place_ledger ledger;
            ledger.set_engines(engines, cache);
            for (call_number call = 0; call < 12; ++call) {
                const auto prompt = *rc::gen::inRange(0U, 3'000U);
                const auto placed = ledger.choose(question(prompt, 100), at(0));
                bool any = false;
                for (const auto& member : engines) {
                    const auto& [running, tokens] = used[member.name];
                    const bool has_room =
                        running < member.slots &&
                        (cache == 0 || running == 0 || tokens + prompt + 100 <= cache);
                    any = any || has_room;
                    RC_ASSERT(!placed || placed->engine != member.name || has_room);
                }
                RC_ASSERT(placed.has_value() == any);
                if (placed) {
                    ledger.start({1, call}, placed->engine, {prompt + 100, 100, prompt, 0}, at(0));
                    ++used[placed->engine].first;
                    used[placed->engine].second += prompt + 100;
                }
            }
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(place_ledger_test);

}  // namespace tallyfold::tests
