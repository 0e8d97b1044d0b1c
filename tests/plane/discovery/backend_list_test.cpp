#include "tallyfold/plane/discovery/backend_list.hpp"

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/discovery/list_walk.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace discovery;

class backend_list_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(backend_list_test);
    CPPUNIT_TEST(poll_returns_what_changed);
    CPPUNIT_TEST(poll_without_back_ends_keeps_the_list);
    CPPUNIT_TEST(rejected_back_end_stays_known_as_leaving);
    CPPUNIT_TEST(missing_back_end_may_be_the_unnamed_rejected_one);
    CPPUNIT_TEST(unreadable_entry_does_not_keep_back_ends_for_good);
    CPPUNIT_TEST(first_of_repeated_entries_applies);
    CPPUNIT_TEST(content_with_other_result_leaves_the_list);
    CPPUNIT_TEST(difference_from_other_list_is_rejected);
    CPPUNIT_TEST(difference_does_not_grow_with_the_list);
    CPPUNIT_TEST(journal_is_bounded);
    CPPUNIT_TEST(difference_transforms_any_earlier_list);
    CPPUNIT_TEST(walk_ends_at_repeated_token);
    CPPUNIT_TEST_SUITE_END();

    static instant at(int milliseconds) { return instant(std::chrono::milliseconds(milliseconds)); }

    static listed_backend backend(std::size_t number, bool leaving = false) {
        listed_backend made;
        made.service = "s";
        made.member.name = "b" + std::to_string(number);
        made.member.address = "10.0.0.1:" + std::to_string(number);
        made.member.leaving = leaving;
        return made;
    }
    static polled_list numbered(std::size_t first, std::size_t end) {
        polled_list polled;
        for (std::size_t number = first; number < end; ++number) {
            polled.backends.push_back(backend(number));
        }
        return polled;
    }
    static std::size_t count_of(const list_changes& changes) {
        return changes.changed.size() + changes.removed.size();
    }

    void poll_returns_what_changed() {
        backend_list list;
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, count_of(*list.record_poll(numbered(0, 9), at(0))));
        polled_list later = numbered(1, 10);
        later.backends[3].member.leaving = true;
        const auto changes = list.record_poll(later, at(1'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes->changed.size());
        CPPUNIT_ASSERT(changes->removed == std::vector<backend_name>{"b0"});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list.leaving_count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of(*list.record_poll(later, at(2'000))));
        CPPUNIT_ASSERT(list.last_polled_at() == at(2'000));
    }

    void poll_without_back_ends_keeps_the_list() {
        backend_list list;
        list.record_poll(numbered(0, 3), at(0));
        const auto changes = list.record_poll({}, at(1'000));
        CPPUNIT_ASSERT(changes.error() == list_failure::no_backends);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, list.size());
        CPPUNIT_ASSERT(list.last_polled_at() == at(0));
    }

    void rejected_back_end_stays_known_as_leaving() {
        backend_list list;
        list.record_poll(numbered(0, 3), at(0));
        polled_list polled = numbered(1, 3);
        polled.rejected.push_back({"b0", "'Slots' is no count"});
        polled.rejected.push_back({"unknown", "'Slots' is no count"});
        list.record_poll(polled, at(1'000));
        CPPUNIT_ASSERT(list.find("b0")->member.leaving);
        CPPUNIT_ASSERT(list.find("unknown") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of(*list.record_poll(polled, at(2'000))));
        list.record_poll(numbered(0, 3), at(3'000));
        CPPUNIT_ASSERT(!list.find("b0")->member.leaving);
    }

    void missing_back_end_may_be_the_unnamed_rejected_one() {
        backend_list list;
        list.record_poll(numbered(0, 3), at(0));
        polled_list polled = numbered(1, 3);
        polled.rejected.push_back({{}, "the entry is no JSON"});
        list.record_poll(polled, at(1'000));
        CPPUNIT_ASSERT(list.find("b0")->member.leaving);
        list.record_poll(numbered(1, 3), at(2'000));
        CPPUNIT_ASSERT(list.find("b0") == nullptr);
    }

    void unreadable_entry_does_not_keep_back_ends_for_good() {
        backend_list list;
        for (std::size_t first = 0; first < 500; ++first) {
            polled_list polled = numbered(first, first + 3);
            polled.rejected.push_back({{}, "the entry is no JSON"});
            list.record_poll(polled, at(0));
            CPPUNIT_ASSERT(list.size() <= 2 * backend_list::max_missing_polls + 6);
        }
    }

    void first_of_repeated_entries_applies() {
        backend_list list;
        polled_list polled = numbered(0, 2);
        polled.backends.push_back(backend(0, true));
        list.record_poll(polled, at(0));
        CPPUNIT_ASSERT(!list.find("b0")->member.leaving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_of(*list.record_poll(polled, at(1'000))));
    }

    void content_with_other_result_leaves_the_list() {
        backend_list sender;
        sender.record_poll(numbered(0, 5), at(0));
        list_content content = sender.content_since(0);
        content.changes.changed.pop_back();
        backend_list list;
        list.record_poll(numbered(3, 9), at(0));
        const list_fingerprint before = list.fingerprint();
        CPPUNIT_ASSERT(list.apply(content, at(100)).error() == list_failure::result_mismatch);
        CPPUNIT_ASSERT(list.fingerprint() == before);
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, list.size());
        backend_list unknown;
        CPPUNIT_ASSERT(!unknown.apply(content, at(100)));
        CPPUNIT_ASSERT(!unknown.known() && unknown.size() == 0);
    }

    void difference_from_other_list_is_rejected() {
        backend_list sender(100);
        sender.record_poll(numbered(0, 5), at(0));
        const list_fingerprint first = sender.fingerprint();
        sender.record_poll(numbered(0, 6), at(100));
        backend_list other;
        other.record_poll(numbered(2, 5), at(0));
        CPPUNIT_ASSERT(other.apply(sender.content_since(first), at(100)).error() ==
                       list_failure::base_mismatch);
    }

    void difference_does_not_grow_with_the_list() {
        for (const std::size_t size : {1'000U, 20'000U}) {
            backend_list list(100);
            polled_list polled = numbered(0, size);
            list.record_poll(polled, at(0));
            const list_fingerprint before = list.fingerprint();
            for (std::size_t number = 0; number < 10; ++number) {
                polled.backends[number * 7].member.leaving = true;
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_of(*list.record_poll(polled, at(1'000))));
            CPPUNIT_ASSERT_EQUAL(std::size_t{10}, count_of(list.content_since(before).changes));
        }
    }

    void journal_is_bounded() {
        constexpr std::size_t max_entries = 20;
        backend_list list(max_entries);
        list.record_poll(numbered(0, 100), at(0));
        const list_fingerprint first = list.fingerprint();
        for (std::size_t end = 101; end <= 120; ++end) {
            list.record_poll(numbered(0, end), at(0));
        }
        CPPUNIT_ASSERT(list.has_journal_since(first));
        list.record_poll(numbered(0, 121), at(0));
        CPPUNIT_ASSERT(!list.has_journal_since(first));
        CPPUNIT_ASSERT_EQUAL(list_fingerprint{0}, list.content_since(first).base);
    }

    /// A random list of up to 30 back ends, some of them leaving.
    static polled_list random_list(random_source& random) {
        polled_list polled;
        for (std::size_t number = 0; number < 30; ++number) {
            if (random.chance(0.6)) {
                polled.backends.push_back(backend(number, random.chance(0.3)));
            }
        }
        polled.backends.push_back(backend(99));
        return polled;
    }

    void difference_transforms_any_earlier_list() {
        check_property("a difference transforms any earlier list into the newest", [](int seed) {
            random_source random(static_cast<std::uint64_t>(seed));
            backend_list sender(10'000);
            backend_list receiver;
            sender.record_poll(random_list(random), at(0));
            RC_ASSERT(receiver.apply(sender.content_since(0), at(0)).has_value());
            for (std::uint64_t round = random.below(5); round < 6; ++round) {
                sender.record_poll(random_list(random), at(1'000));
            }
            const list_content content = sender.content_since(receiver.fingerprint());
            RC_ASSERT(content.base == receiver.fingerprint());
            RC_ASSERT(receiver.apply(content, at(1'000)).has_value());
            RC_ASSERT(receiver.fingerprint() == sender.fingerprint());
            RC_ASSERT(receiver.backends() == sender.backends());
        });
    }

    static backend_page page_with_token(const std::string& token) {
        backend_page page;
        page.next_token = token;
        return page;
    }

    void walk_ends_at_repeated_token() {
        list_walk walk;
        CPPUNIT_ASSERT(walk.add(page_with_token("p-1")) == list_walk::step::request_next_page);
        CPPUNIT_ASSERT(walk.add(page_with_token("p-2")) == list_walk::step::request_next_page);
        CPPUNIT_ASSERT(walk.add(page_with_token("p-1")) == list_walk::step::fail);
        list_walk whole;
        CPPUNIT_ASSERT(whole.add(page_with_token("p-1")) == list_walk::step::request_next_page);
        CPPUNIT_ASSERT(whole.add(page_with_token("")) == list_walk::step::complete);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, whole.polled().pages);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_list_test);

}  // namespace tallyfold::tests
