#include "tallyfold/plane/dispatch/place_ledger.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace dispatch;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers of unknown length and the expected length of an answer.
class answer_length_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answer_length_test);
    CPPUNIT_TEST(answers_without_events_do_not_count_as_empty);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t max_tokens = 100;

    static scheduling::backend_member engine(const std::string& name, const std::string& zone) {
        scheduling::backend_member member;
        member.name = name;
        member.address = name + ":80";
        member.zone = zone;
        member.listed_only = true;
        return member;
    }

    static void answer(place_ledger& ledger, const backend_name& engine, const call_end& ended,
                       instant& now) {
        const call_key key{1, 1};
        call_size size;
        size.tokens = max_tokens;
        size.max_tokens = max_tokens;
        ledger.start(key, engine, size, now);
        now += milliseconds(100);
        CPPUNIT_ASSERT(ledger.finish(key, ended, now).has_value());
    }

    /// Guards against a slow engine that is preferred because calls seem to generate nothing:
    /// answers that are relayed in one piece report no tokens.
    void answers_without_events_do_not_count_as_empty() {
        place_ledger ledger;
        ledger.set_engines({engine("near", "a"), engine("fast", "b")}, 0);
        instant now(seconds(100));
        call_end stream;
        stream.outcome = release_outcome::answered;
        stream.generated_tokens = max_tokens / 2;
        stream.events = max_tokens / 2;
        stream.first_event = milliseconds(20);
        for (int call = 0; call < 20; ++call) {
            stream.gap = milliseconds(10);
            answer(ledger, "near", stream, now);
            stream.gap = milliseconds(1);
            answer(ledger, "fast", stream, now);
        }
        placement_question question;
        question.zone = "a";
        question.max_tokens = max_tokens;
        CPPUNIT_ASSERT_EQUAL(backend_name("fast"), ledger.choose(question, now)->engine);
        call_end buffered;
        buffered.outcome = release_outcome::answered;
        for (int call = 0; call < 500; ++call) {
            answer(ledger, "near", buffered, now);
        }
        CPPUNIT_ASSERT_EQUAL(backend_name("fast"), ledger.choose(question, now)->engine);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_length_test);

}  // namespace tallyfold::tests
