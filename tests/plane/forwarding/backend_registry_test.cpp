#include "tallyfold/plane/forwarding/backend_registry.hpp"

#include "tallyfold/base/common/hash.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace forwarding;

class backend_registry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_registry_test);
    CPPUNIT_TEST(a_leaving_back_end_is_not_chosen);
    CPPUNIT_TEST(calls_of_a_program_go_to_one_engine);
    CPPUNIT_TEST(unreachable_back_end_is_ejected_immediately);
    CPPUNIT_TEST(silent_back_end_is_ejected);
    CPPUNIT_TEST(uniform_slowness_ejects_no_back_end);
    CPPUNIT_TEST(queued_turns_count_only_their_uncached_tokens);
    CPPUNIT_TEST(call_without_first_byte_releases_its_pending_tokens);
    CPPUNIT_TEST(engine_with_longest_cached_prefix_is_chosen);
    CPPUNIT_TEST(new_input_is_not_counted_as_cached);
    CPPUNIT_TEST(calls_without_home_spread_over_engines);
    CPPUNIT_TEST(shared_prefix_does_not_override_home);
    CPPUNIT_TEST(non_repeatable_calls_avoid_back_end_with_broken_connection);
    CPPUNIT_TEST(failures_of_most_back_ends_are_ignored);
    CPPUNIT_TEST(all_nodes_choose_the_same_home_of_an_object);
    CPPUNIT_TEST(broken_connections_are_recorded_once_and_expire);
    CPPUNIT_TEST(relisted_service_keeps_node_specific_subset);
    CPPUNIT_TEST(evacuated_zone_gets_no_calls);
    CPPUNIT_TEST(service_without_zone_left_is_evacuated);
    CPPUNIT_TEST(changes_result_in_the_same_choices_as_the_full_list);
    CPPUNIT_TEST(stream_does_not_resume_at_another_version_of_its_back_end);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<discovery::listed_backend> engines(std::size_t count) {
        std::vector<discovery::listed_backend> listed(count);
        for (std::size_t index = 0; index < count; ++index) {
            listed[index].service = "s";
            listed[index].member.name = "b" + std::to_string(index);
            listed[index].member.address = "10.0.0.1:" + std::to_string(8000 + index);
            listed[index].member.slots = 8;
            listed[index].member.listed_only = true;
        }
        return listed;
    }

    static std::map<std::string, int> count_choices(backend_registry& registry, bool repeatable,
                                                    instant now) {
        selection_request question;
        question.service = "s";
        question.repeatable = repeatable;
        std::map<std::string, int> counts;
        for (int count = 0; count < 200; ++count) {
            ++counts[registry.choose(question, now)->name];
        }
        return counts;
    }

    void non_repeatable_calls_avoid_back_end_with_broken_connection() {
        const instant now(std::chrono::seconds(50));
        backend_registry registry("zone", 1);
        registry.update(engines(8), now);
        const std::string broken = count_choices(registry, false, now).begin()->first;
        CPPUNIT_ASSERT(!registry.record_broken_connection(broken, now).empty());
        CPPUNIT_ASSERT(!count_choices(registry, false, now).contains(broken));
        // Repeatable calls may still use it.
        CPPUNIT_ASSERT(count_choices(registry, true, now).contains(broken));
        CPPUNIT_ASSERT(count_choices(registry, false, now + reported_failures::initial_distrust)
                           .contains(broken));
    }

    void failures_of_most_back_ends_are_ignored() {
        const instant now(std::chrono::seconds(50));
        backend_registry registry("zone", 1);
        registry.update(engines(4), now);
        for (int number = 0; number < 3; ++number) {
            registry.record_broken_connection("b" + std::to_string(number), now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, count_choices(registry, false, now).size());
        // Objects keep their home back ends, too.
        std::set<std::string> homes;
        for (int number = 0; number < 60; ++number) {
            selection_request question;
            question.service = "s";
            question.object = std::to_string(number);
            homes.insert(registry.choose(question, now)->name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, homes.size());
    }

    void all_nodes_choose_the_same_home_of_an_object() {
        const instant now(std::chrono::seconds(50));
        backend_registry first_node("zone-a", 1);
        backend_registry second_node("zone-b", 2);
        first_node.update(engines(8), now);
        second_node.update(engines(8), now);
        std::set<std::string> used;
        for (int number = 0; number < 60; ++number) {
            selection_request question;
            question.service = "s";
            question.object = std::to_string(number);
            const chosen_backend home = *first_node.choose(question, now);
            CPPUNIT_ASSERT_EQUAL(home.name, second_node.choose(question, now)->name);
            used.insert(home.name);
            // Another back end is chosen when the home is busy or was already tried.
            backend_call first = first_node.started("s", home, 0, now);
            backend_call second = first_node.started("s", home, 0, now);
            CPPUNIT_ASSERT(first_node.choose(question, now)->name != home.name);
            first_node.finished(first);
            first_node.finished(second);
            CPPUNIT_ASSERT_EQUAL(home.name, first_node.choose(question, now)->name);
            question.tried.insert(home.name);
            CPPUNIT_ASSERT(first_node.choose(question, now)->name != home.name);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, used.size());
    }

    void broken_connections_are_recorded_once_and_expire() {
        const instant now(std::chrono::seconds(50));
        backend_registry registry("zone", 1);
        registry.update(engines(4), now);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:8001"),
                             registry.record_broken_connection("b1", now));
        // Another node reports the same failure, and one of an unlisted back end.
        CPPUNIT_ASSERT_EQUAL(std::string{}, registry.record_broken_connection(
                                                "b1", now + std::chrono::milliseconds(200)));
        CPPUNIT_ASSERT_EQUAL(std::string{}, registry.record_broken_connection("nobody", now));
        CPPUNIT_ASSERT(
            !registry.record_broken_connection("b1", now + std::chrono::seconds(1)).empty());
        // A second failure soon after the first is distrusted for longer.
        reported_failures failures;
        failures.record("b", now);
        failures.record("b", now + std::chrono::seconds(3));
        CPPUNIT_ASSERT(failures.is_distrusted("b", now + std::chrono::seconds(6)));
        failures.expire(now + std::chrono::seconds(20));
        CPPUNIT_ASSERT(!failures.is_distrusted("b", now + std::chrono::seconds(6)));
    }

    void a_leaving_back_end_is_not_chosen() {
        backend_registry registry("zone", 1);
        std::vector<discovery::listed_backend> listed = engines(2);
        listed[0].member.leaving = true;
        registry.update(listed, instant{});
        selection_request question;
        question.service = "s";
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT_EQUAL(std::string("b1"), registry.choose(question, instant{})->name);
        }
        listed[1].member.leaving = true;
        registry.update(listed, instant{});
        CPPUNIT_ASSERT(!registry.choose(question, instant{}).has_value());
    }

    /// Prompt with a prefix shared by all programs and a part specific to the program.
    static std::vector<scheduling::prefix_point> prompt_of_program(int number) {
        return {{1, 512}, {100 + std::uint64_t(number), 900}};
    }
    static selection_request first_turn_of(int number,
                                           const std::vector<scheduling::prefix_point>& prompt) {
        selection_request question;
        question.service = "s";
        question.is_engine = true;
        question.program = "program-" + std::to_string(number);
        question.prompt = &prompt;
        question.prompt_tokens = prompt.back().tokens;
        return question;
    }

    void calls_of_a_program_go_to_one_engine() {
        // Nodes make the same choice without exchanging state.
        backend_registry first_node("zone-a", 1);
        backend_registry second_node("zone-b", 2);
        first_node.update(engines(8), instant{});
        second_node.update(engines(8), instant{});
        std::set<std::string> used;
        for (int number = 0; number < 40; ++number) {
            const auto prompt = prompt_of_program(number);
            const selection_request question = first_turn_of(number, prompt);
            const auto first = first_node.choose(question, instant{});
            const auto second_choice = second_node.choose(question, instant{});
            CPPUNIT_ASSERT(first.has_value() && second_choice.has_value());
            CPPUNIT_ASSERT_EQUAL(first->name, second_choice->name);
            used.insert(first->name);
        }
        CPPUNIT_ASSERT(used.size() >= 6);
    }

    void calls_without_home_spread_over_engines() {
        // Without a policy a program's calls go to its home; a call without a program has none.
        std::map<std::string, int> calls;
        constexpr int nodes = 200;
        for (int node = 0; node < nodes; ++node) {
            backend_registry registry("zone", stable_hash("node-" + std::to_string(node)));
            registry.update(engines(20), instant{});
            selection_request question;
            question.service = "s";
            question.is_engine = true;
            ++calls[registry.choose(question, instant{})->name];
        }
        for (const auto& [name, count] : calls) {
            // The mean is 10. Guards against all nodes choosing the same few engines.
            CPPUNIT_ASSERT_MESSAGE(name + " " + std::to_string(count), count < 30);
        }
        CPPUNIT_ASSERT(calls.size() > 15);
    }

    void shared_prefix_does_not_override_home() {
        // All nodes know the same engine as holder of the shared prefix.
        const std::vector<scheduling::prefix_point> shared{{1, 512}};
        std::map<std::string, int> calls;
        constexpr int programs = 100;
        for (int number = 0; number < programs; ++number) {
            backend_registry registry("zone", stable_hash("node-" + std::to_string(number)));
            registry.update(engines(20), instant{});
            registry.record_cached("b3", shared);
            const auto prompt = prompt_of_program(number);
            const selection_request question = first_turn_of(number, prompt);
            ++calls[registry.choose(question, instant{})->name];
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls["b3"]), calls["b3"] < 20);
    }

    void unreachable_back_end_is_ejected_immediately() {
        backend_registry registry("zone", 1);
        registry.update(engines(3), instant{});
        registry.unreachable("s", "b0", instant{});
        selection_request question;
        question.service = "s";
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(registry.choose(question, instant{})->name != "b0");
        }
    }

    void relisted_service_keeps_node_specific_subset() {
        // Guards against nodes losing their node-specific subset while a service is unlisted.
        std::set<std::string> chosen;
        for (int node = 0; node < 20; ++node) {
            backend_registry registry("zone", stable_hash("node-" + std::to_string(node)));
            selection_request question;
            question.service = "s";
            question.is_engine = true;
            registry.update(engines(20), instant{});
            registry.update({}, instant{});
            CPPUNIT_ASSERT(!registry.choose(question, instant{}));
            registry.update(engines(20), instant{});
            chosen.insert(registry.choose(question, instant{})->name);
        }
        CPPUNIT_ASSERT(chosen.size() > 5);
    }

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    /// Lists four back ends and completes 100 calls at one, each after `milliseconds`.
    static void answer_calls(backend_registry& registry, int milliseconds) {
        registry.update(engines(4), at(0));
        for (int count = 0; count < 100; ++count) {
            backend_call call = registry.started("s", {"b1", {}, 0}, 0, at(0));
            registry.first_byte_received(call, at(milliseconds));
            registry.finished(call);
        }
    }

    void silent_back_end_is_ejected() {
        backend_registry registry("zone", 1);
        answer_calls(registry, 60);
        backend_call call = registry.started("s", {"b0", {}, 0}, 0, at(100));
        CPPUNIT_ASSERT(registry.eject_silent(at(700)).empty());
        const std::vector<std::string> suspected = registry.eject_silent(at(900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, suspected.size());
        selection_request question;
        question.service = "s";
        for (int count = 0; count < 50; ++count) {
            CPPUNIT_ASSERT(registry.choose(question, at(900))->name != "b0");
        }
        registry.finished(call);
        CPPUNIT_ASSERT(registry.eject_silent(at(5000)).empty());
    }

    void uniform_slowness_ejects_no_back_end() {
        backend_registry registry("zone", 1);
        answer_calls(registry, 400);
        registry.started("s", {"b0", {}, 0}, 0, at(0));
        CPPUNIT_ASSERT(registry.eject_silent(at(1500)).empty());
    }

    static constexpr token_count shared_tokens = 12'000;

    /// Question for a turn of a program with this prompt.
    static selection_request begin_parameters(const std::vector<scheduling::prefix_point>& prompt) {
        selection_request question;
        question.service = "s";
        question.is_engine = true;
        question.program = "program";
        question.prompt = &prompt;
        question.prompt_tokens = prompt.back().tokens;
        return question;
    }

    static std::vector<scheduling::prefix_point> prompt_with(token_count own) {
        return {{1, shared_tokens}, {2, shared_tokens + own}};
    }

    /// Completes one turn at the chosen back end. @param own tokens of the unshared part
    static chosen_backend run_turn(backend_registry& registry, token_count own) {
        const auto prompt = prompt_with(own);
        const auto chosen = registry.choose(begin_parameters(prompt), at(0));
        CPPUNIT_ASSERT(chosen.has_value());
        backend_call call = registry.started("s", *chosen, prompt.back().tokens, at(0));
        registry.first_byte_received(call, at(50));
        registry.record_cached(chosen->name, prompt);
        registry.finished(call);
        return *chosen;
    }

    void queued_turns_count_only_their_uncached_tokens() {
        backend_registry registry("zone", 1);
        registry.update(engines(4), at(0));
        const std::string home = run_turn(registry, 1000).name;
        // Further turns, of which only a few hundred tokens are uncached, go to the same engine.
        for (const token_count own : {1200, 1300, 1400}) {
            const auto prompt = prompt_with(own);
            const auto chosen = registry.choose(begin_parameters(prompt), at(100));
            CPPUNIT_ASSERT_EQUAL(home, chosen->name);
            registry.started("s", *chosen, prompt.back().tokens, at(100));
        }
    }

    void call_without_first_byte_releases_its_pending_tokens() {
        backend_registry registry("zone", 1);
        registry.update(engines(4), at(0));
        const std::string home = run_turn(registry, 1000).name;
        for (int failures = 0; failures < 3; ++failures) {
            backend_call call = registry.started("s", {home, {}, 0}, 40'000, at(100));
            registry.finished(call);
        }
        const auto prompt = prompt_with(1300);
        CPPUNIT_ASSERT_EQUAL(home, registry.choose(begin_parameters(prompt), at(200))->name);
    }

    void engine_with_longest_cached_prefix_is_chosen() {
        backend_registry registry("zone", 1);
        registry.update(engines(2), at(0));
        const std::string before = run_turn(registry, 1000).name;
        const std::string after = before == "b0" ? "b1" : "b0";
        registry.record_cached(after, prompt_with(9000));
        const auto prompt = prompt_with(9500);
        const auto chosen = registry.choose(begin_parameters(prompt), at(100));
        CPPUNIT_ASSERT_EQUAL(after, chosen->name);
        CPPUNIT_ASSERT_EQUAL(shared_tokens + 9000, chosen->cached_tokens);
    }

    void new_input_is_not_counted_as_cached() {
        backend_registry registry("zone", 1);
        registry.update(engines(2), at(0));
        run_turn(registry, 1000);
        const auto prompt = prompt_with(3000);
        CPPUNIT_ASSERT_EQUAL(shared_tokens + 1000,
                             registry.choose(begin_parameters(prompt), at(100))->cached_tokens);
    }

    static std::vector<discovery::listed_backend> engines_in_zones(std::size_t count) {
        std::vector<discovery::listed_backend> listed = engines(count);
        for (std::size_t index = 0; index < count; ++index) {
            listed[index].member.zone = index % 2 == 0 ? "a" : "b";
        }
        return listed;
    }

    /// Names of the back ends that get calls of every kind: retries, calls for an object, calls of
    /// a program with a cached prompt.
    static std::set<std::string> chosen_for_all_kinds(backend_registry& registry, instant now) {
        std::set<std::string> chosen;
        for (int number = 0; number < 200; ++number) {
            selection_request question;
            question.service = "s";
            question.is_engine = number % 2 == 0;
            question.repeatable = number % 3 == 0;
            question.program = "program-" + std::to_string(number);
            question.object = number % 5 == 0 ? "object-" + std::to_string(number) : "";
            if (number % 7 == 0) {
                question.tried.insert("b1");
            }
            if (const auto backend = registry.choose(question, now)) {
                chosen.insert(backend->name);
            }
        }
        return chosen;
    }

    void evacuated_zone_gets_no_calls() {
        const instant now(std::chrono::seconds(50));
        backend_registry registry("a", 1);
        registry.update(engines_in_zones(8), now);
        registry.set_evacuated_zones({"a"});
        const std::set<std::string> odd{"b1", "b3", "b5", "b7"};
        for (const std::string& name : chosen_for_all_kinds(registry, now)) {
            CPPUNIT_ASSERT_MESSAGE(name, odd.contains(name));
        }
        CPPUNIT_ASSERT(!registry.may_resume_at("s", "b0", {}));
        CPPUNIT_ASSERT(registry.may_resume_at("s", "b1", {}));
        // A back end that joins the zone is excluded too.
        registry.update(engines_in_zones(12), now);
        CPPUNIT_ASSERT(!chosen_for_all_kinds(registry, now).contains("b10"));
        registry.set_evacuated_zones({});
        CPPUNIT_ASSERT(chosen_for_all_kinds(registry, now).contains("b0"));
    }

    void service_without_zone_left_is_evacuated() {
        const instant now(std::chrono::seconds(50));
        backend_registry registry("a", 1);
        registry.update(engines_in_zones(8), now);
        CPPUNIT_ASSERT(!registry.is_evacuated("s"));
        registry.set_evacuated_zones({"a"});
        CPPUNIT_ASSERT(!registry.is_evacuated("s"));
        registry.set_evacuated_zones({"a", "b"});
        CPPUNIT_ASSERT(registry.is_evacuated("s"));
        CPPUNIT_ASSERT(chosen_for_all_kinds(registry, now).empty());
        CPPUNIT_ASSERT(!registry.is_evacuated("unknown"));
    }

    void changes_result_in_the_same_choices_as_the_full_list() {
        const instant now(std::chrono::seconds(50));
        backend_registry by_changes("zone", 1);
        by_changes.update(engines(20), now);
        std::vector<discovery::listed_backend> later = engines(25);
        later.erase(later.begin() + 3);
        later[7].member.leaving = true;
        later[9].member.address = "10.0.0.9:1";
        discovery::list_changes changes;
        changes.removed = {"b3"};
        changes.changed.assign(later.begin() + 19, later.end());
        changes.changed.push_back(later[7]);
        changes.changed.push_back(later[9]);
        by_changes.apply(changes, now);
        backend_registry by_list("zone", 1);
        by_list.update(later, now);
        CPPUNIT_ASSERT(!by_changes.update(later, now));
        CPPUNIT_ASSERT(chosen_for_all_kinds(by_changes, now) == chosen_for_all_kinds(by_list, now));
    }

    void stream_does_not_resume_at_another_version_of_its_back_end() {
        const instant now(std::chrono::seconds(50));
        backend_registry registry("zone", 1);
        auto listed = engines(2);
        listed[0].member.variant = "v1";
        listed[1].member.variant = "v2";
        registry.update(listed, now);
        const std::vector<std::string> both{"v1", "v2"};
        CPPUNIT_ASSERT(registry.versions_of("s") == both);
        CPPUNIT_ASSERT(registry.may_resume_at("s", "b0", "v1"));
        registry.unreachable("s", "b0", now);
        // The same name and address, started again at the other version.
        listed[0].member.variant = "v2";
        registry.update(listed, now);
        CPPUNIT_ASSERT(!registry.may_resume_at("s", "b0", "v1"));
        CPPUNIT_ASSERT(registry.versions_of("s") == std::vector<std::string>{"v2"});
        selection_request question;
        question.service = "s";
        question.version = "v1";
        CPPUNIT_ASSERT(!registry.choose(question, now));
        question.version = "v2";
        CPPUNIT_ASSERT(registry.choose(question, now)->accepted_eligibility ==
                       backend_eligibility::trusted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_registry_test);

}  // namespace tallyfold::tests
