#include "tallyfold/consensus/follower_reads.hpp"

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace consensus;

class follower_reads_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(follower_reads_test);
    CPPUNIT_TEST(reads_share_a_request_and_wait_for_the_commit_index);
    CPPUNIT_TEST(a_read_added_after_the_request_needs_another);
    CPPUNIT_TEST(a_reply_to_a_request_before_a_restart_is_ignored);
    CPPUNIT_TEST(unanswered_reads_expire);
    CPPUNIT_TEST_SUITE_END();

    using tokens = std::vector<std::uint64_t>;
    static constexpr duration repeat = std::chrono::milliseconds(80);
    instant now_{std::chrono::seconds(1)};

    void reads_share_a_request_and_wait_for_the_commit_index() {
        follower_reads reads(100);
        reads.add(1, now_);
        reads.add(2, now_);
        const auto request_id = reads.next_request_id(now_, repeat);
        CPPUNIT_ASSERT(request_id.has_value());
        CPPUNIT_ASSERT(!reads.next_request_id(now_, repeat).has_value());
        CPPUNIT_ASSERT(request_id == reads.next_request_id(now_ + repeat, repeat));
        reads.on_reply(*request_id, 9);
        CPPUNIT_ASSERT(reads.take_confirmed(8).empty());
        CPPUNIT_ASSERT(reads.take_confirmed(9) == tokens({1, 2}));
        CPPUNIT_ASSERT(reads.take_confirmed(9).empty());
    }

    void a_read_added_after_the_request_needs_another() {
        follower_reads reads(100);
        reads.add(1, now_);
        const auto first = reads.next_request_id(now_, repeat);
        reads.add(2, now_);
        reads.on_reply(*first, 9);
        CPPUNIT_ASSERT(reads.take_confirmed(9) == tokens({1}));
        const auto second = reads.next_request_id(now_, repeat);
        CPPUNIT_ASSERT(second.has_value() && second != first);
        // A delayed duplicate of the reply.
        reads.on_reply(*first, 12);
        CPPUNIT_ASSERT(reads.take_confirmed(12).empty());
    }

    void a_reply_to_a_request_before_a_restart_is_ignored() {
        follower_reads before(100);
        before.add(1, now_);
        const auto request_id = before.next_request_id(now_, repeat);
        follower_reads after(7'000);
        after.add(2, now_);
        CPPUNIT_ASSERT(after.next_request_id(now_, repeat).has_value());
        after.on_reply(*request_id, 9);
        CPPUNIT_ASSERT(after.take_confirmed(9).empty());
    }

    void unanswered_reads_expire() {
        follower_reads reads(100);
        reads.add(1, now_);
        reads.next_request_id(now_, repeat);
        reads.add(2, now_ + repeat);
        CPPUNIT_ASSERT(reads.take_expired(now_ + repeat, repeat).empty());
        CPPUNIT_ASSERT(reads.take_expired(now_ + repeat * 3 / 2, repeat) == tokens({1}));
        CPPUNIT_ASSERT(reads.take_all() == tokens({2}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(follower_reads_test);

}  // namespace tallyfold::tests
