#include "tallyfold/plane/directory/crash_relay.hpp"

#include "tallyfold/plane/poison/message_times.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;
using poison::crash_report;
using std::chrono::milliseconds;

class crash_relay_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_relay_test);
    CPPUNIT_TEST(answer_has_the_crashes_that_other_nodes_reported);
    CPPUNIT_TEST(all_nodes_are_told_from_the_second_crash_on);
    CPPUNIT_TEST(end_that_two_nodes_report_counts_once);
    CPPUNIT_TEST(contents_below_the_limit_are_told_at_a_bounded_rate);
    CPPUNIT_TEST(release_is_told_when_the_crashes_were);
    CPPUNIT_TEST(released_content_is_not_held_by_the_next_crashes);
    CPPUNIT_TEST(new_forwarder_is_told_the_worst_first);
    CPPUNIT_TEST(any_order_of_reports_finds_the_third_crash);
    CPPUNIT_TEST_SUITE_END();

    static constexpr instant start{std::chrono::seconds(9)};
    static constexpr poison::content_key content = 7;

    /// A crash that the reporting node saw just before `now`, 5 ms after its send.
    static crash_report report_of(const backend_name& backend, poison::report_number number = 1,
                                  poison::content_key reported = content) {
        return {number, {reported, {{backend, 5'000, 0}}}};
    }
    static instant at(int step) { return start + milliseconds(10 * step); }

    static std::size_t told_crashes(const crash_relay::decision& decision) {
        return decision.told ? decision.told->contents.front().crashes.size() : 0;
    }

    void answer_has_the_crashes_that_other_nodes_reported() {
        crash_relay relay;
        relay.receive(report_of("a", 4), at(0));
        const auto decision = relay.receive(report_of("b", 9), at(1));
        CPPUNIT_ASSERT_EQUAL(poison::report_number{9}, decision.answer.report);
        const auto& crashes = decision.answer.contents.front().crashes;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashes.size());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), crashes[0].backend);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15'000}, crashes[0].sent_us_ago);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, crashes[0].ended_us_ago);
    }

    void all_nodes_are_told_from_the_second_crash_on() {
        crash_relay relay;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, told_crashes(relay.receive(report_of("a"), at(0))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told_crashes(relay.receive(report_of("b"), at(1))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, told_crashes(relay.receive(report_of("c"), at(2))));
    }

    void end_that_two_nodes_report_counts_once() {
        crash_relay relay;
        relay.receive(report_of("a"), at(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, told_crashes(relay.receive(report_of("a"), at(1))));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relay.crashes().consecutive(content, at(1)));
    }

    void contents_below_the_limit_are_told_at_a_bounded_rate() {
        crash_relay relay;
        std::size_t told = 0;
        constexpr poison::content_key contents = 500;
        for (poison::content_key each = 0; each < contents; ++each) {
            relay.receive(report_of("a", 1, each), at(0));
            told += told_crashes(relay.receive(report_of("b", 1, each), at(1))) > 0 ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(crash_relay::told_burst), told);
        // Those that must not be sent again are told whatever was told before.
        for (poison::content_key each = 0; each < contents; ++each) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                                 told_crashes(relay.receive(report_of("c", 1, each), at(2))));
        }
    }

    void release_is_told_when_the_crashes_were() {
        const crash_report released{0, {content, {}}};
        crash_relay untold;
        untold.receive(report_of("a"), at(0));
        CPPUNIT_ASSERT(!untold.receive(released, at(1)).told);
        crash_relay relay;
        relay.receive(report_of("b"), at(2));
        relay.receive(report_of("c"), at(3));
        const auto decision = relay.receive(released, at(4));
        CPPUNIT_ASSERT(decision.told.has_value());
        CPPUNIT_ASSERT_EQUAL(content, decision.told->contents.front().content);
        CPPUNIT_ASSERT(decision.told->contents.front().crashes.empty());
        CPPUNIT_ASSERT(relay.crashes().empty());
    }

    void released_content_is_not_held_by_the_next_crashes() {
        crash_relay relay;
        relay.receive(report_of("a"), at(0));
        relay.receive({0, {content, {}}}, at(1));
        for (int number = 0; number < 5; ++number) {
            const auto decision =
                relay.receive(report_of("b" + std::to_string(number), 4), at(2 + number));
            CPPUNIT_ASSERT_EQUAL(poison::report_number{4}, decision.answer.report);
            CPPUNIT_ASSERT(decision.answer.contents.front().crashes.empty());
            CPPUNIT_ASSERT(!decision.told);
        }
        const instant later = at(1) + poison::answered_contents::window + milliseconds(1);
        relay.receive(report_of("c"), later);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, relay.crashes().consecutive(content, later));
    }

    void new_forwarder_is_told_the_worst_first() {
        crash_relay relay;
        CPPUNIT_ASSERT(!relay.all_told(at(0)));
        for (poison::content_key each = 0; each < 2 * crash_relay::max_told_at_once; ++each) {
            relay.receive(report_of("a", 1, each), at(0));
            relay.receive(report_of("b", 1, each), at(1));
        }
        relay.receive(report_of("c", 1, 3), at(2));
        const auto told = relay.all_told(at(2));
        CPPUNIT_ASSERT_EQUAL(crash_relay::max_told_at_once, told->contents.size());
        CPPUNIT_ASSERT_EQUAL(poison::content_key{3}, told->contents.front().content);
        CPPUNIT_ASSERT(!relay.all_told(at(3) + poison::crash_table::lifetime).has_value());
    }

    static void merge(poison::crash_table& table, const poison::crash_status& status, instant now) {
        for (const poison::content_crashes& told : status.contents) {
            for (const poison::aged_crash& each : told.crashes) {
                table.record(told.content, poison::from_aged(each, now), now);
            }
        }
    }

    /// Client attempts of one request at drawn forwarders. Each report reaches a majority of the
    /// directory nodes at least, after a drawn delay.
    void any_order_of_reports_finds_the_third_crash() {
        check_property("no more than three back ends end", [] {
            std::vector<crash_relay> relays(3);
            std::vector<poison::crash_table> forwarders(4);
            const auto draws =
                *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 1'000));
            std::size_t ended = 0;
            for (std::size_t attempt = 0; attempt < draws.size(); ++attempt) {
                const instant now = at(static_cast<int>(attempt));
                const auto draw = static_cast<std::size_t>(draws[attempt]);
                poison::crash_table& forwarder = forwarders[draw % forwarders.size()];
                if (forwarder.consecutive(content, now) >= poison::max_crashes) {
                    continue;
                }
                ++ended;
                const crash_report report = report_of(std::to_string(attempt));
                merge(forwarder, {0, {report.reported}}, now);
                const std::size_t unreached = draw / 10 % (relays.size() + 1);
                for (std::size_t node = 0; node < relays.size(); ++node) {
                    if (node == unreached) {
                        continue;
                    }
                    const instant received = now + milliseconds(draw / 100 % 4);
                    const auto decision = relays[node].receive(report, received);
                    merge(forwarder, decision.answer, received);
                    if (decision.told) {
                        for (poison::crash_table& each : forwarders) {
                            merge(each, *decision.told, received);
                        }
                    }
                }
            }
            RC_ASSERT(ended == poison::max_crashes);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_relay_test);

}  // namespace tallyfold::tests
