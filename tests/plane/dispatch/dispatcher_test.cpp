#include "tallyfold/plane/dispatch/dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <random>
#include <set>

#include "tallyfold/plane/dispatch/engine_groups.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;

class dispatcher_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatcher_test);
    CPPUNIT_TEST(a_call_is_granted_a_free_slot_and_waits_without_one);
    CPPUNIT_TEST(a_repeated_request_gets_the_present_state);
    CPPUNIT_TEST(a_repeated_request_is_answered_by_the_wait_expected_at_its_arrival);
    CPPUNIT_TEST(without_engines_the_forwarder_decides);
    CPPUNIT_TEST(a_call_is_granted_beyond_the_slots_at_its_longest_wait);
    CPPUNIT_TEST(a_call_without_an_available_engine_is_given_back_at_once);
    CPPUNIT_TEST(a_call_whose_engines_leave_while_it_waits_is_given_back);
    CPPUNIT_TEST(absurd_requests_change_nothing);
    CPPUNIT_TEST(extreme_values_of_a_request_are_served);
    CPPUNIT_TEST(a_tenant_without_a_valid_weight_counts_as_one);
    CPPUNIT_TEST(messages_of_earlier_processes_are_ignored);
    CPPUNIT_TEST(a_process_is_served_again_after_a_message_of_an_earlier_one);
    CPPUNIT_TEST(a_restarted_forwarder_leaves_nothing_behind);
    CPPUNIT_TEST(a_renewal_names_an_engine_that_left);
    CPPUNIT_TEST(an_absurd_renewal_is_ignored);
    CPPUNIT_TEST(releases_that_arrive_twice_or_for_unknown_calls_are_ignored);
    CPPUNIT_TEST(a_release_that_never_arrives_costs_one_lease);
    CPPUNIT_TEST(a_withdrawn_call_leaves_the_queue);
    CPPUNIT_TEST(an_engine_leaves_after_its_grant);
    CPPUNIT_TEST(a_forwarder_dies_while_its_calls_wait_and_run);
    CPPUNIT_TEST(a_waiting_call_that_was_sent_alone_is_counted_once);
    CPPUNIT_TEST(a_new_dispatcher_learns_by_renewals);
    CPPUNIT_TEST(a_late_grant_of_a_silent_dispatcher_is_taken_back);
    CPPUNIT_TEST(two_dispatchers_of_a_group_each_count_their_calls);
    CPPUNIT_TEST(a_dispatcher_that_was_frozen_grants_no_expired_request);
    CPPUNIT_TEST(all_restart_at_once);
    CPPUNIT_TEST(new_slots_are_used_before_a_call_is_refused);
    CPPUNIT_TEST(a_call_that_excludes_the_free_engine_holds_up_no_other);
    CPPUNIT_TEST(a_call_too_large_for_the_free_cache_holds_up_no_other_and_runs_at_its_limit);
    CPPUNIT_TEST(many_calls_too_large_for_the_free_cache_hold_up_no_other);
    CPPUNIT_TEST(counts_equal_the_calls_under_way);
    CPPUNIT_TEST(equal_calls_wait_only_while_no_engine_has_room);
    CPPUNIT_TEST(messages_do_not_depend_on_the_number_of_forwarders);
    CPPUNIT_TEST_SUITE_END();

    using answers = std::vector<addressed_answer>;

    static instant at(int milliseconds) {
        return instant(std::chrono::milliseconds(100'000 + milliseconds));
    }
    static scheduling::backend_member engine(const backend_name& name, std::uint32_t slots = 2) {
        scheduling::backend_member member;
        member.name = name;
        member.address = name + ":80";
        member.slots = slots;
        member.listed_only = true;
        return member;
    }
    static dispatcher make_dispatcher(std::uint32_t engines = 1, std::uint32_t slots = 2,
                                      bool refuses = true) {
        dispatcher_settings settings;
        settings.queue.refuses = refuses;
        dispatcher made(settings);
        std::vector<scheduling::backend_member> members;
        for (std::uint32_t number = 0; number < engines; ++number) {
            members.push_back(engine("engine-" + std::to_string(number), slots));
        }
        made.set_engines(members, 0);
        return made;
    }
    static place_request request(call_number call, const node_name& node = "node",
                                 std::uint64_t process = 1) {
        place_request asked;
        asked.node = node;
        asked.process_id = process;
        asked.call = call;
        asked.service = "service";
        asked.route = "route";
        asked.program_running = true;
        asked.longest_wait_ms = 1'000;
        asked.prompt_tokens = 100;
        asked.max_tokens = 50;
        return asked;
    }
    static place_release released(const std::vector<call_number>& calls,
                                  release_outcome outcome = release_outcome::answered,
                                  const node_name& node = "node", std::uint64_t process = 1) {
        place_release message{node, process, {}};
        for (const call_number call : calls) {
            message.calls.push_back({call, "service", outcome, "engine-0", 50, 5, 20'000, 30'000});
        }
        return message;
    }
    static place_renewal renewal(const std::vector<call_number>& calls,
                                 const backend_name& engine = "engine-0",
                                 const node_name& node = "node", std::uint64_t process = 1) {
        place_renewal message{node, process, {}};
        for (const call_number call : calls) {
            message.calls.push_back({call, "service", engine, 7, 150});
        }
        return message;
    }
    static void expect(place_outcome outcome, const answers& given, std::size_t position = 0) {
        CPPUNIT_ASSERT(position < given.size());
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(outcome),
                             static_cast<int>(given[position].answer.outcome));
    }
    static void expect_fault(message_fault fault, const dispatcher& target) {
        CPPUNIT_ASSERT_EQUAL(text_of(fault), text_of(target.last_fault()));
    }
    static void expect_counts(std::uint32_t running, std::size_t waiting,
                              const dispatcher& target) {
        CPPUNIT_ASSERT_EQUAL(running, target.room().running);
        CPPUNIT_ASSERT_EQUAL(std::size_t{running}, target.ledger().calls());
        CPPUNIT_ASSERT_EQUAL(waiting, target.waiting());
    }

    void a_call_is_granted_a_free_slot_and_waits_without_one() {
        dispatcher target = make_dispatcher(1, 1);
        const answers first = target.request(request(1), at(0));
        expect(place_outcome::granted, first);
        CPPUNIT_ASSERT_EQUAL(backend_name("engine-0"), first[0].answer.engine);
        CPPUNIT_ASSERT_EQUAL(1U, first[0].answer.running);
        expect(place_outcome::waiting, target.request(request(2), at(0)));
        const answers next = target.release(released({1}), at(50));
        expect(place_outcome::granted, next);
        CPPUNIT_ASSERT_EQUAL(call_number{2}, next[0].answer.call);
        CPPUNIT_ASSERT_EQUAL(50U, next[0].answer.waited_ms);
        CPPUNIT_ASSERT_EQUAL(node_name("node"), next[0].node);
        const dispatch_counters counters = target.take_counters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, counters.granted);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counters.waited);
    }

    /// Guards against a call that holds two slots because its answer was lost.
    void a_repeated_request_gets_the_present_state() {
        dispatcher target = make_dispatcher(2, 1);
        const auto granted = target.request(request(1), at(0));
        for (int count = 0; count < 3; ++count) {
            const auto again = target.request(request(1), at(10));
            expect(place_outcome::granted, again);
            CPPUNIT_ASSERT_EQUAL(granted[0].answer.engine, again[0].answer.engine);
        }
        expect_counts(1, 0, target);
        target.request(request(2), at(20));
        expect(place_outcome::waiting, target.request(request(3), at(20)));
        const auto again = target.request(request(3), at(220));
        expect(place_outcome::waiting, again);
        CPPUNIT_ASSERT_EQUAL(200U, again[0].answer.waited_ms);
        expect_counts(2, 1, target);
    }

    /// Guards against a walk over the calls ahead for each repeated request: with 1,000 waiting
    /// calls, 5,000 walks a second.
    void a_repeated_request_is_answered_by_the_wait_expected_at_its_arrival() {
        dispatcher target = make_dispatcher(1, 1, false);
        for (call_number call = 1; call <= 6; ++call) {
            target.request(request(call), at(static_cast<int>(call)));
        }
        for (call_number call = 1; call <= 5; ++call) {
            target.release(released({call}), at(100 + 20 * static_cast<int>(call)));
        }
        const answers first = target.request(request(7), at(210));
        expect(place_outcome::waiting, first);
        CPPUNIT_ASSERT(first[0].answer.expected_wait_ms > 0);
        place_request urgent = request(8);
        urgent.route_priority = -1;
        expect(place_outcome::waiting, target.request(urgent, at(220)));
        const answers again = target.request(request(7), at(410));
        CPPUNIT_ASSERT_EQUAL(first[0].answer.expected_wait_ms, again[0].answer.expected_wait_ms);
    }

    void without_engines_the_forwarder_decides() {
        dispatcher target{dispatcher_settings{}};
        expect(place_outcome::unknown_service, target.request(request(1), at(0)));
        expect_counts(0, 0, target);
    }

    void a_call_is_granted_beyond_the_slots_at_its_longest_wait() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1), at(0));
        target.request(request(2), at(0));
        for (int time = 200; time < 1'000; time += 200) {
            target.renew(renewal({1}), at(time));
            target.request(request(2), at(time));
            CPPUNIT_ASSERT(target.tick(at(time + 20)).empty());
        }
        const auto forced = target.tick(at(1'000));
        expect(place_outcome::granted, forced);
        CPPUNIT_ASSERT(forced[0].answer.reason == place_reason::longest_wait_reached);
        expect_counts(2, 0, target);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, target.take_counters().forced);
    }

    /// Guards against a call that waits its longest wait for a slot that no end of a call gives it:
    /// its forwarder excludes all engines.
    void a_call_without_an_available_engine_is_given_back_at_once() {
        dispatcher target = make_dispatcher(2, 1);
        target.request(request(1), at(0));
        place_request asked = request(2);
        asked.excluded = {"engine-0", "engine-1"};
        asked.longest_wait_ms = 100;
        const answers given = target.request(asked, at(0));
        expect(place_outcome::unknown_service, given);
        CPPUNIT_ASSERT_EQUAL(2U, given[0].answer.slots);
        expect_counts(1, 0, target);
        CPPUNIT_ASSERT(target.tick(at(100)).empty());
    }

    void a_call_whose_engines_leave_while_it_waits_is_given_back() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1), at(0));
        place_request asked = request(2);
        asked.longest_wait_ms = 100;
        expect(place_outcome::waiting, target.request(asked, at(0)));
        scheduling::backend_member leaving = engine("engine-0", 1);
        leaving.leaving = true;
        target.set_engines({leaving}, 0);
        expect(place_outcome::unknown_service, target.tick(at(100)));
        expect_counts(1, 0, target);
    }

    void absurd_requests_change_nothing() {
        dispatcher target = make_dispatcher();
        std::vector<place_request> absurd(6, request(1));
        absurd[0].node.clear();
        absurd[1].prompt_tokens = std::numeric_limits<std::uint32_t>::max();
        absurd[2].max_tokens = std::numeric_limits<std::uint32_t>::max();
        absurd[3].longest_wait_ms = std::numeric_limits<std::uint32_t>::max();
        absurd[4].excluded.resize(max_listed_engines + 1);
        absurd[5].holders.resize(max_listed_engines + 1);
        for (const place_request& asked : absurd) {
            CPPUNIT_ASSERT(target.request(asked, at(0)).empty());
            expect_fault(message_fault::absurd_value, target);
        }
        expect_counts(0, 0, target);
        expect(place_outcome::granted, target.request(request(1), at(0)));
        expect_fault(message_fault::none, target);
    }

    void extreme_values_of_a_request_are_served() {
        dispatcher target = make_dispatcher(1, 1, false);
        target.request(request(1), at(0));
        place_request asked = request(2);
        asked.time_left_ms = std::numeric_limits<std::int32_t>::min();
        asked.tenant_priority = asked.route_priority = std::numeric_limits<std::int32_t>::min();
        asked.used_tokens = std::numeric_limits<std::uint64_t>::max();
        asked.prompt = {{1, std::numeric_limits<token_count>::max()}};
        asked.holders = {{"engine-0", 1, std::numeric_limits<token_count>::max()}};
        expect(place_outcome::waiting, target.request(asked, at(0)));
        const auto granted = target.release(released({1}), at(10));
        expect(place_outcome::granted, granted);
        CPPUNIT_ASSERT_EQUAL(100U, granted[0].answer.cached_tokens);
        place_request hasty = request(3);
        hasty.longest_wait_ms = 0;
        hasty.time_left_ms = std::numeric_limits<std::int32_t>::max();
        expect(place_outcome::waiting, target.request(hasty, at(10)));
        expect(place_outcome::granted, target.tick(at(30)));
        expect_counts(2, 0, target);
    }

    /// Guards against a sum of weights that one absurd weight makes infinite or not a number, so
    /// that no tenant is within its share any more.
    void a_tenant_without_a_valid_weight_counts_as_one() {
        for (const double weight :
             {0.0, -1.0, -std::numeric_limits<double>::infinity(),
              std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(),
              std::numeric_limits<double>::max()}) {
            dispatcher target = make_dispatcher(1, 1, false);
            call_number call = 1;
            place_request asked = request(call);
            asked.tenant = "odd";
            asked.tenant_weight = weight;
            expect(place_outcome::granted, target.request(asked, at(0)));
            expect_fault(weight == 0 ? message_fault::none : message_fault::absurd_value, target);
            // Both tenants always have calls waiting; each gets half of the slots.
            std::map<std::string, int> granted;
            const auto push = [&](const std::string& tenant) {
                place_request next = request(++call);
                next.tenant = tenant;
                next.tenant_weight = tenant == "odd" ? weight : 1;
                next.longest_wait_ms = 600'000;
                target.request(next, at(0));
                return call;
            };
            std::map<call_number, std::string> tenants;
            for (int count = 0; count < 100; ++count) {
                tenants[push("odd")] = "odd";
                tenants[push("even")] = "even";
            }
            call_number running = 1;
            for (int count = 0; count < 100; ++count) {
                const auto next = target.release(released({running}), at(count));
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
                running = next[0].answer.call;
                ++granted[tenants.at(running)];
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(weight) + ": " + std::to_string(granted["odd"]),
                                   granted["odd"] > 40 && granted["odd"] < 60);
        }
    }

    /// Guards against a late message of a process before the last one that passes for a new
    /// process, and drops the calls of the present one.
    void messages_of_earlier_processes_are_ignored() {
        dispatcher target = make_dispatcher(1, 4);
        for (const std::uint64_t process : {11, 12, 13}) {
            expect(place_outcome::granted, target.request(request(1, "node", process), at(0)));
        }
        for (const std::uint64_t earlier : {11, 12}) {
            CPPUNIT_ASSERT(target.request(request(2, "node", earlier), at(1)).empty());
            expect_fault(message_fault::earlier_process, target);
            const auto release = released({1}, release_outcome::answered, "node", earlier);
            CPPUNIT_ASSERT(target.release(release, at(1)).empty());
            expect_fault(message_fault::earlier_process, target);
            target.renew(renewal({1, 2, 3}, "engine-0", "node", earlier), at(1));
            expect_fault(message_fault::earlier_process, target);
            expect_counts(1, 0, target);
        }
        target.release(released({1}, release_outcome::answered, "node", 13), at(2));
        expect_fault(message_fault::none, target);
        expect_counts(0, 0, target);
    }

    /// Guards against a forwarder that is ignored for good: the first message that this dispatcher
    /// gets of an earlier process, which was frozen, arrives after one of the present process.
    void a_process_is_served_again_after_a_message_of_an_earlier_one() {
        dispatcher target = make_dispatcher(1, 4);
        expect(place_outcome::granted, target.request(request(1, "node", 2), at(0)));
        expect(place_outcome::granted, target.request(request(1, "node", 1), at(100)));
        CPPUNIT_ASSERT(target.request(request(2, "node", 2), at(200)).empty());
        expect_fault(message_fault::earlier_process, target);
        expect(place_outcome::granted, target.request(request(3, "node", 2), at(6'000)));
        expect_counts(1, 0, target);
        CPPUNIT_ASSERT(target.request(request(2, "node", 1), at(6'000)).empty());
        expect_fault(message_fault::earlier_process, target);
    }

    void a_restarted_forwarder_leaves_nothing_behind() {
        dispatcher target = make_dispatcher(1, 2);
        for (call_number call = 1; call <= 5; ++call) {
            target.request(request(call), at(0));
        }
        target.request(request(1, "other"), at(0));
        expect_counts(2, 4, target);
        // The slots of the replaced process go to the other forwarder's call, then to the new one.
        const auto given = target.request(request(1, "node", 2), at(10));
        expect_counts(2, 0, target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, given.size());
        CPPUNIT_ASSERT_EQUAL(node_name("other"), given[0].node);
        expect(place_outcome::granted, given, 1);
    }

    void a_renewal_names_an_engine_that_left() {
        dispatcher target = make_dispatcher(2);
        target.renew(renewal({1}, "engine-9"), at(0));
        expect_fault(message_fault::unknown_engine, target);
        expect_counts(0, 0, target);
        // The other calls of the message count.
        place_renewal mixed = renewal({1}, "engine-9");
        mixed.calls.push_back({2, "service", "engine-1", 7, 150});
        target.renew(mixed, at(0));
        expect_fault(message_fault::unknown_engine, target);
        expect_counts(1, 0, target);
    }

    void an_absurd_renewal_is_ignored() {
        dispatcher target = make_dispatcher();
        place_renewal absurd = renewal({1});
        absurd.calls[0].tokens = std::numeric_limits<std::uint32_t>::max();
        target.renew(absurd, at(0));
        expect_fault(message_fault::absurd_value, target);
        target.renew(renewal({}), at(0));
        expect_fault(message_fault::none, target);
        expect_counts(0, 0, target);
    }

    void releases_that_arrive_twice_or_for_unknown_calls_are_ignored() {
        dispatcher target = make_dispatcher();
        target.request(request(1), at(0));
        target.request(request(2), at(0));
        target.release(released({1, 1, 77}), at(10));
        target.release(released({1}), at(20));
        target.release(released({2}, release_outcome::answered, "stranger"), at(20));
        expect_counts(1, 0, target);
        target.release(released({2}), at(30));
        expect_counts(0, 0, target);
        CPPUNIT_ASSERT_EQUAL(token_count{0}, target.room().tokens);
    }

    void a_release_that_never_arrives_costs_one_lease() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1), at(0));
        int time = 0;
        answers given;
        place_request asked = request(2, "other");
        asked.longest_wait_ms = 10'000;
        while (given.empty() && time < 5'000) {
            time += 20;
            if (time % 200 == 0 || time == 20) {
                target.request(asked, at(time));
            }
            given = target.tick(at(time));
        }
        expect(place_outcome::granted, given);
        CPPUNIT_ASSERT(time >= 2'000 && time <= 2'100);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, target.take_counters().expired);
    }

    void a_withdrawn_call_leaves_the_queue() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1), at(0));
        target.request(request(2), at(0));
        CPPUNIT_ASSERT(target.release(released({2}, release_outcome::not_sent), at(10)).empty());
        expect_counts(1, 0, target);
        CPPUNIT_ASSERT(target.release(released({1}), at(20)).empty());
        expect_counts(0, 0, target);
    }

    void an_engine_leaves_after_its_grant() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1), at(0));
        target.request(request(2), at(0));
        target.set_engines({engine("new", 1)}, 0);
        const auto given = target.tick(at(20));
        expect(place_outcome::granted, given);
        CPPUNIT_ASSERT_EQUAL(backend_name("new"), given[0].answer.engine);
        target.renew(renewal({1}), at(500));
        expect_fault(message_fault::none, target);
        expect_counts(2, 0, target);
        target.release(released({1, 2}), at(600));
        expect_counts(0, 0, target);
    }

    void a_forwarder_dies_while_its_calls_wait_and_run() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1, "dead"), at(0));
        place_request asked = request(2, "dead");
        asked.longest_wait_ms = 10'000;
        target.request(asked, at(0));
        expect_counts(1, 1, target);
        answers given;
        for (int time = 20; time <= 2'100; time += 20) {
            const auto more = target.tick(at(time));
            given.insert(given.end(), more.begin(), more.end());
            if (time == 720) {
                expect_counts(1, 0, target);
            }
        }
        CPPUNIT_ASSERT(given.empty());
        expect_counts(0, 0, target);
        CPPUNIT_ASSERT(!target.idle(at(2'100)));
        CPPUNIT_ASSERT(target.idle(at(0) + dispatcher::idle_time + std::chrono::seconds(1)));
    }

    void a_waiting_call_that_was_sent_alone_is_counted_once() {
        dispatcher target = make_dispatcher(1, 1);
        target.request(request(1), at(0));
        target.request(request(2), at(0));
        target.renew(renewal({2}), at(50));
        expect_counts(2, 0, target);
        CPPUNIT_ASSERT(target.tick(at(60)).empty());
        target.release(released({1, 2}), at(100));
        expect_counts(0, 0, target);
    }

    void a_new_dispatcher_learns_by_renewals() {
        dispatcher target = make_dispatcher(1, 3);
        target.renew(renewal({1, 2}), at(0));
        target.renew(renewal({1}, "engine-0", "other"), at(0));
        expect_counts(3, 0, target);
        expect(place_outcome::waiting, target.request(request(3), at(10)));
        expect(place_outcome::granted, target.release(released({2}), at(20)));
        expect_counts(3, 0, target);
    }

    void a_late_grant_of_a_silent_dispatcher_is_taken_back() {
        dispatcher silent = make_dispatcher(1, 2);
        dispatcher next = make_dispatcher(1, 2);
        // The forwarder got no answer in time, sent the call alone and reported it to the next
        // node; the grant then arrives and is withdrawn without a service or an engine.
        silent.request(request(1), at(0));
        next.renew(renewal({1}), at(40));
        place_release withdrawn{"node", 1, {}};
        withdrawn.calls.push_back({1, {}, release_outcome::not_sent, {}, 0, 0, 0, 0});
        silent.release(withdrawn, at(60));
        expect_counts(0, 0, silent);
        expect_counts(1, 0, next);
        next.release(released({1}), at(100));
        expect_counts(0, 0, next);
    }

    void two_dispatchers_of_a_group_each_count_their_calls() {
        dispatcher first = make_dispatcher(1, 2);
        dispatcher second = make_dispatcher(1, 2);
        for (call_number call = 1; call <= 2; ++call) {
            expect(place_outcome::granted, first.request(request(call, "left"), at(0)));
            expect(place_outcome::granted, second.request(request(call, "right"), at(0)));
        }
        // All forwarders turn to the first one: it knows of all calls, and grants no more.
        first.renew(renewal({1, 2}, "engine-0", "right"), at(100));
        expect_counts(4, 0, first);
        expect(place_outcome::waiting, first.request(request(3, "right"), at(100)));
        const auto left = released({1, 2}, release_outcome::answered, "left");
        CPPUNIT_ASSERT(first.release(left, at(200)).empty());
        const auto right = released({1, 2}, release_outcome::answered, "right");
        expect(place_outcome::granted, first.release(right, at(300)));
        // The other one's calls end by their leases.
        second.tick(at(2'000));
        expect_counts(0, 0, second);
        expect_counts(1, 0, first);
    }

    /// Guards against a grant to a forwarder that has long decided otherwise.
    void a_dispatcher_that_was_frozen_grants_no_expired_request() {
        dispatcher target = make_dispatcher(1, 1);
        place_request asked = request(2);
        asked.longest_wait_ms = 60'000;
        target.request(request(1), at(0));
        target.request(asked, at(0));
        CPPUNIT_ASSERT(target.tick(at(5'000)).empty());
        expect_counts(0, 0, target);
        CPPUNIT_ASSERT(target.release(released({1, 2}), at(5'000)).empty());
        expect_counts(0, 0, target);
    }

    void all_restart_at_once() {
        dispatcher target = make_dispatcher(1, 2);
        // An empty ledger grants slots that are taken; the renewals tell within 500 ms.
        expect(place_outcome::granted, target.request(request(1, "node", 2), at(0)));
        target.renew(renewal({1, 2}, "engine-0", "other", 2), at(500));
        expect_counts(3, 0, target);
        expect(place_outcome::waiting, target.request(request(2, "node", 2), at(510)));
        const auto ended = released({1, 2}, release_outcome::answered, "other", 2);
        expect(place_outcome::granted, target.release(ended, at(600)));
        expect_counts(2, 0, target);
    }

    /// Guards against a refusal while slots are free that no release has told of.
    void new_slots_are_used_before_a_call_is_refused() {
        dispatcher target = make_dispatcher(1, 1);
        // Calls of 400 ms: with calls waiting, the expected wait exceeds 100 ms, also for four
        // slots.
        for (call_number call = 1; call <= 5; ++call) {
            const int time = static_cast<int>(call) * 400;
            target.request(request(call), at(time));
            target.release(released({call}), at(time + 400));
        }
        target.request(request(10), at(3'000));
        expect(place_outcome::waiting, target.request(request(11), at(3'000)));
        place_request hasty = request(12);
        hasty.longest_wait_ms = 100;
        hasty.program_running = false;
        expect(place_outcome::refused, target.request(hasty, at(3'000)));
        target.set_engines({engine("engine-0", 4)}, 0);
        hasty.call = 13;
        const auto given = target.request(hasty, at(3'001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, given.size());
        expect(place_outcome::granted, given, 0);
        expect(place_outcome::granted, given, 1);
    }

    /// Guards against slots that stay free because the first call of the queue has tried their
    /// engine before; an engine that fails calls at once is the one with free slots.
    void a_call_that_excludes_the_free_engine_holds_up_no_other() {
        dispatcher target = make_dispatcher(2, 1);
        const auto first = target.request(request(1), at(0));
        target.request(request(2), at(0));
        place_request tried = request(3);
        tried.excluded = {first[0].answer.engine};
        expect(place_outcome::waiting, target.request(tried, at(0)));
        expect(place_outcome::waiting, target.request(request(4), at(1)));
        const auto given = target.release(released({1}), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, given.size());
        expect(place_outcome::granted, given);
        CPPUNIT_ASSERT_EQUAL(call_number{4}, given[0].answer.call);
        const auto next = target.release(released({2}), at(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT_EQUAL(call_number{3}, next[0].answer.call);
        expect_counts(2, 0, target);
    }

    /// Guards against a long prompt that shorter ones overtake until its longest wait.
    void a_call_too_large_for_the_free_cache_holds_up_no_other_and_runs_at_its_limit() {
        dispatcher target = make_dispatcher();
        target.set_engines({engine("engine-0", 4)}, 400);
        target.request(request(1), at(0));
        target.request(request(2), at(0));
        place_request large = request(3);
        large.prompt_tokens = 300;
        large.longest_wait_ms = 500;
        expect(place_outcome::waiting, target.request(large, at(0)));
        expect(place_outcome::waiting, target.request(request(4), at(1)));
        const auto small = target.release(released({1}), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, small.size());
        CPPUNIT_ASSERT_EQUAL(call_number{4}, small[0].answer.call);
        CPPUNIT_ASSERT(target.tick(at(static_cast<int>(large.longest_wait_ms) - 20)).empty());
        const auto given = target.tick(at(static_cast<int>(large.longest_wait_ms)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, given.size());
        CPPUNIT_ASSERT_EQUAL(call_number{3}, given[0].answer.call);
    }

    /// Guards against free slots behind more calls that can't use them than are looked at.
    void many_calls_too_large_for_the_free_cache_hold_up_no_other() {
        dispatcher target = make_dispatcher(1, 2, false);
        target.set_engines({engine("engine-0", 4)}, 400);
        place_request half = request(1);
        half.prompt_tokens = 150;
        expect(place_outcome::granted, target.request(half, at(0)));
        expect(place_outcome::granted, target.request(request(2), at(0)));
        call_number call = 2;
        while (call < 32) {
            place_request large = request(++call);
            large.prompt_tokens = 300 - static_cast<std::uint32_t>(call);
            expect(place_outcome::waiting, target.request(large, at(1)));
            CPPUNIT_ASSERT(large.prompt_tokens + large.max_tokens > 200);
        }
        place_request small = request(++call);
        small.prompt_tokens = 60;
        expect(place_outcome::waiting, target.request(small, at(2)));
        const auto given = target.release(released({2}, release_outcome::not_sent), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, given.size());
        CPPUNIT_ASSERT_EQUAL(call, given[0].answer.call);
    }

    /// Draws messages of three nodes, two processes each, and follows what they mean.
    void counts_equal_the_calls_under_way() {
        check_property("counts equal the calls under way; each has one engine", [] {
            dispatcher target = make_dispatcher(3, 2);
            using call_id = std::tuple<node_name, std::uint64_t, call_number>;
            std::map<call_id, backend_name> running;
            std::map<node_name, std::uint64_t> present;
            std::set<std::pair<node_name, std::uint64_t>> replaced;
            instant now = at(0);
            const auto take = [&](const answers& given) {
                for (const addressed_answer& each : given) {
                    if (each.answer.outcome == place_outcome::granted) {
                        const call_id id{each.node, each.answer.process_id, each.answer.call};
                        const auto [found, is_new] = running.try_emplace(id, each.answer.engine);
                        RC_ASSERT(found->second == each.answer.engine);
                    }
                }
            };
            const int steps = *rc::gen::inRange(1, 120);
            for (int step = 0; step < steps; ++step) {
                // Short of a lease in all: no call ends without a message.
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 15));
                const auto node = *rc::gen::element<node_name>("a", "b", "c");
                const auto process = *rc::gen::element<std::uint64_t>(1, 1, 1, 2, 3);
                const auto call = *rc::gen::inRange<call_number>(1, 8);
                const auto name = *rc::gen::element<backend_name>("engine-0", "engine-2", "gone");
                const bool is_old = replaced.contains({node, process});
                if (!is_old && present[node] != process) {
                    replaced.insert({node, present[node]});
                    std::erase_if(running, [&](const auto& entry) {
                        return std::get<0>(entry.first) == node &&
                               std::get<1>(entry.first) != process;
                    });
                    present[node] = process;
                }
                switch (*rc::gen::inRange(0, 4)) {
                    case 0:
                    case 1:
                        take(target.request(request(call, node, process), now));
                        break;
                    case 2: {
                        const auto outcome =
                            *rc::gen::element(release_outcome::answered, release_outcome::not_sent);
                        const auto given =
                            target.release(released({call, call}, outcome, node, process), now);
                        if (!is_old) {
                            running.erase({node, process, call});
                        }
                        take(given);
                        break;
                    }
                    default:
                        target.renew(renewal({call}, name, node, process), now);
                        if (!is_old && name != "gone") {
                            running.try_emplace({node, process, call}, name);
                        }
                }
                RC_ASSERT((target.last_fault() == message_fault::earlier_process) == is_old);
                take(target.tick(now));
                std::map<backend_name, std::uint32_t> at_engine;
                for (const auto& entry : running) {
                    ++at_engine[entry.second];
                }
                RC_ASSERT(target.room().running == running.size());
                RC_ASSERT(target.room().tokens == 150 * running.size());
                for (const char* each : {"engine-0", "engine-1", "engine-2"}) {
                    RC_ASSERT(target.ledger().running_at(each) == at_engine[each]);
                }
            }
            // Calls that no message ended are ended by their leases or leave the queue.
            for (int time = 0; time < 6'000; time += 20) {
                target.tick(now + std::chrono::milliseconds(time));
            }
            RC_ASSERT(target.room().running == 0U);
            RC_ASSERT(target.room().tokens == 0U);
            RC_ASSERT(target.waiting() == 0U);
        });
    }

    /// Guards against a call that waits while a slot is free.
    void equal_calls_wait_only_while_no_engine_has_room() {
        check_property("calls wait only while no engine has a slot and room in its cache", [] {
            const auto cache = *rc::gen::element<token_count>(0, 310);
            dispatcher target = make_dispatcher();
            target.set_engines({engine("a", 1), engine("b", 3)}, cache);
            const std::uint32_t room = cache == 0 ? 4 : 3;
            instant now = at(0);
            const int steps = *rc::gen::inRange(1, 80);
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 100));
                const auto call = *rc::gen::inRange<call_number>(1, 12);
                place_request asked = request(call);
                asked.longest_wait_ms = 600'000;
                if (*rc::gen::arbitrary<bool>()) {
                    for (const auto& each : target.request(asked, now)) {
                        RC_ASSERT(each.answer.outcome != place_outcome::refused ||
                                  target.room().running == room);
                    }
                } else {
                    target.release(released({call}), now);
                }
                RC_ASSERT(target.room().running <= room);
                RC_ASSERT(target.waiting() == 0 || target.room().running == room);
            }
        });
    }

    /// Messages that one dispatcher handles, and calls named in them.
    struct message_counts {
        std::size_t calls = 0;
        std::size_t messages = 0;
        std::size_t answers = 0;
        std::size_t renewed = 0;
        std::size_t forwarders = 0;
    };

    /// Runs 20 s of load from `forwarders` nodes on 10,000 engines, as far as it concerns one
    /// group.
    static message_counts count_messages(std::size_t forwarders) {
        constexpr group_index groups = 157;
        constexpr duration step = std::chrono::microseconds(20);
        dispatcher target = make_dispatcher(64, 6);
        message_counts counts;
        std::mt19937_64 random(20261203);
        std::uniform_int_distribution<std::size_t> any_forwarder(0, forwarders - 1);
        std::uniform_int_distribution<int> length_ms(50, 900);
        struct sent_call {
            std::size_t forwarder = 0;
            call_number call = 0;
            backend_name engine;
            instant began{};
            instant ends{};
        };
        std::vector<sent_call> running;
        std::set<std::size_t> seen;
        instant now = at(0);
        instant renewed_at = now;
        // 50,000 calls a second over all groups: 318 for this one.
        for (call_number call = 1; call <= 1'000'000; ++call) {
            now += step;
            const std::size_t forwarder = any_forwarder(random);
            const std::uint64_t program = random();
            const int length = length_ms(random);
            for (std::size_t index = 0; index < running.size();) {
                if (running[index].ends > now) {
                    ++index;
                    continue;
                }
                const sent_call& ended = running[index];
                const auto node = "forwarder-" + std::to_string(ended.forwarder);
                const auto given =
                    target.release(released({ended.call}, release_outcome::answered, node), now);
                ++counts.messages;
                counts.answers += given.size();
                running[index] = running.back();
                running.pop_back();
            }
            if (now - renewed_at >= std::chrono::milliseconds(500)) {
                renewed_at = now;
                std::map<std::size_t, place_renewal> renewals;
                for (const sent_call& each : running) {
                    if (now - each.began >= std::chrono::milliseconds(500)) {
                        place_renewal& message = renewals[each.forwarder];
                        message.node = "forwarder-" + std::to_string(each.forwarder);
                        message.process_id = 1;
                        message.calls.push_back({each.call, "service", each.engine, 7, 150});
                    }
                }
                for (const auto& entry : renewals) {
                    target.renew(entry.second, now);
                    ++counts.messages;
                    counts.renewed += entry.second.calls.size();
                }
            }
            if (group_of_program(program, groups) != 0) {
                continue;
            }
            const auto given =
                target.request(request(call, "forwarder-" + std::to_string(forwarder)), now);
            ++counts.messages;
            ++counts.calls;
            counts.answers += given.size();
            seen.insert(forwarder);
            for (const addressed_answer& each : given) {
                CPPUNIT_ASSERT(each.answer.outcome == place_outcome::granted);
                running.push_back({forwarder, call, each.answer.engine, now,
                                   now + std::chrono::milliseconds(length)});
            }
        }
        counts.forwarders = seen.size();
        return counts;
    }

    /// Guards against work that grows with the number of nodes, as reports at intervals do.
    void messages_do_not_depend_on_the_number_of_forwarders() {
        const message_counts few = count_messages(71);
        const message_counts many = count_messages(710);
        CPPUNIT_ASSERT(few.calls > 5'000);
        CPPUNIT_ASSERT_EQUAL(few.calls, many.calls);
        CPPUNIT_ASSERT_EQUAL(few.answers, many.answers);
        CPPUNIT_ASSERT_EQUAL(few.renewed, many.renewed);
        CPPUNIT_ASSERT(many.forwarders > 9 * few.forwarders);
        const auto for_each_call = [](const message_counts& counts) {
            return static_cast<double>(counts.messages) / static_cast<double>(counts.calls);
        };
        // A request and a release, and a renewal for the calls that run for long.
        const std::string seen =
            std::to_string(for_each_call(few)) + " and " + std::to_string(for_each_call(many));
        CPPUNIT_ASSERT_MESSAGE(seen, for_each_call(few) < 2.6 && for_each_call(many) < 2.6);
        CPPUNIT_ASSERT_MESSAGE(seen, for_each_call(many) < 1.1 * for_each_call(few));
        CPPUNIT_ASSERT(many.messages <= 2 * many.calls + many.renewed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatcher_test);

}  // namespace tallyfold::tests
