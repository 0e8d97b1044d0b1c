#include "stand_ins/engine_core.hpp"

#include "stand_ins/answer_content.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace stand_ins;
using namespace scheduler;

class engine_core_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_core_test);
    CPPUNIT_TEST(a_call_takes_the_time_of_its_steps);
    CPPUNIT_TEST(a_cached_prefix_is_not_computed_again);
    CPPUNIT_TEST(a_stream_resumes_from_an_offset);
    CPPUNIT_TEST(a_late_or_sealed_attempt_does_not_start);
    CPPUNIT_TEST(a_waiting_attempt_is_dropped_at_its_limit);
    CPPUNIT_TEST(an_older_owner_is_refused);
    CPPUNIT_TEST(release_frees_cache_tokens);
    CPPUNIT_TEST(an_imported_prefix_is_cached);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t begin_us = 1'000'000'000;
    static instant at(std::int64_t microseconds) {
        return instant(duration(begin_us + microseconds));
    }

    static start_stream request(const program_id& program, sequence_number sequence,
                                token_count prompt, token_count answer) {
        start_stream made;
        made.key = {program, sequence, 1};
        made.fence = {1, 1};
        made.prompt = std::make_shared<const std::vector<journal::message>>(
            std::vector<journal::message>{{"user", "text of " + program, prompt}});
        made.max_tokens = answer;
        return made;
    }

    static engine_settings settings() {
        engine_settings made;
        made.name = "engine-1";
        made.event_loss = 0;
        return made;
    }

    engine_core engine_ = engine_core(settings(), std::make_shared<prefill_ledger>(), at(0));

    /// Runs until the attempt has ended. @return its end time in microseconds after at(0), or -1
    std::int64_t finish(const attempt_key& key, std::int64_t from) {
        instant now = at(from);
        for (int step = 0; step < 10'000; ++step) {
            const instant next = engine_.tick(now);
            for (const backend_report& report : engine_.take_reports()) {
                const auto* finished = std::get_if<stream_finished>(&report);
                if (finished != nullptr && finished->key == key) {
                    return (engine_.entries().back().finished - at(0)).count();
                }
            }
            now = next;
        }
        return -1;
    }

    void a_call_takes_the_time_of_its_steps() {
        // One prefill step of 12 ms plus 1000 prompt tokens of 50 us each gives the first token.
        // Nine decode steps of 12.6 ms each follow. The emulator reports a token at the start of
        // its step.
        CPPUNIT_ASSERT(engine_.start(request("p", 1, 1000, 10), at(0)).has_value());
        const std::int64_t prefill = 12'000 + 1000 * 50;
        const std::int64_t decode = 12'600;
        const std::int64_t taken = finish({"p", 1, 1}, 0);
        CPPUNIT_ASSERT(taken >= prefill + 8 * decode);
        CPPUNIT_ASSERT(taken <= prefill + 11 * decode);
    }

    void a_cached_prefix_is_not_computed_again() {
        CPPUNIT_ASSERT(engine_.start(request("p", 1, 1000, 5), at(0)).has_value());
        const std::int64_t first = finish({"p", 1, 1}, 0);
        start_stream second = request("p", 2, 1000, 5);
        CPPUNIT_ASSERT(engine_.start(second, at(first + 100'000)).has_value());
        const std::int64_t again = finish({"p", 2, 1}, first + 100'000) - first - 100'000;
        CPPUNIT_ASSERT(again + 45'000 < first);
    }

    void a_stream_resumes_from_an_offset() {
        CPPUNIT_ASSERT(engine_.start(request("p", 1, 10, 5), at(0)).has_value());
        const std::int64_t end = finish({"p", 1, 1}, 0);
        CPPUNIT_ASSERT(engine_.resume({"e", {"p", 1, 1}, 2}, at(end)).has_value());
        const auto reports = engine_.take_reports();
        const auto& pieces = std::get<stream_pieces>(reports.at(0));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, pieces.offset);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pieces.pieces.size());
        CPPUNIT_ASSERT(std::holds_alternative<stream_finished>(reports.at(1)));
    }

    void a_late_or_sealed_attempt_does_not_start() {
        start_stream late = request("p", 1, 10, 5);
        late.not_after = at(100).time_since_epoch().count();
        CPPUNIT_ASSERT(engine_.start(late, at(101)).error() == engine_refusal::too_late);
        // A resume before the start seals the attempt; it must not start later.
        CPPUNIT_ASSERT(engine_.resume({"e", {"q", 1, 1}, 0}, at(0)).error() ==
                       engine_refusal::unknown);
        CPPUNIT_ASSERT(engine_.start(request("q", 1, 10, 5), at(1)).error() ==
                       engine_refusal::too_late);
        engine_.cancel({"r", 1, 1}, at(2));
        CPPUNIT_ASSERT(!engine_.start(request("r", 1, 10, 5), at(3)).has_value());
        CPPUNIT_ASSERT(engine_.entries().empty());
    }

    void a_waiting_attempt_is_dropped_at_its_limit() {
        engine_settings narrow = settings();
        narrow.batch_limit = 1;
        engine_ = engine_core(narrow, std::make_shared<prefill_ledger>(), at(0));
        CPPUNIT_ASSERT(engine_.start(request("p", 1, 10, 500), at(0)).has_value());
        (void)engine_.tick(at(0));
        start_stream waits = request("q", 1, 10, 5);
        waits.not_after = at(50'000).time_since_epoch().count();
        CPPUNIT_ASSERT(engine_.start(waits, at(1)).has_value());
        (void)finish({"p", 1, 1}, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine_.entries().size());
    }

    void an_older_owner_is_refused() {
        start_stream newer = request("p", 1, 10, 5);
        newer.fence.epoch = 5;
        CPPUNIT_ASSERT(engine_.start(newer, at(0)).has_value());
        start_stream older = request("q", 1, 10, 5);
        older.fence.epoch = 4;
        CPPUNIT_ASSERT(engine_.start(older, at(0)).error() == engine_refusal::stale_epoch);
    }

    void release_frees_cache_tokens() {
        CPPUNIT_ASSERT(engine_.start(request("p", 1, 1000, 5), at(0)).has_value());
        const std::int64_t end = finish({"p", 1, 1}, 0);
        CPPUNIT_ASSERT(engine_.cached_tokens_of("p") > 0);
        engine_.release("p", at(end));
        CPPUNIT_ASSERT_EQUAL(token_count{0}, engine_.cached_tokens_of("p"));
        CPPUNIT_ASSERT_EQUAL(token_count{0}, engine_.cached_tokens());
    }

    void an_imported_prefix_is_cached() {
        CPPUNIT_ASSERT(engine_.start(request("p", 1, 1000, 5), at(0)).has_value());
        (void)finish({"p", 1, 1}, 0);
        engine_core other(settings(), std::make_shared<prefill_ledger>(), at(0));
        other.import_prefix(engine_.export_prefix("p"), at(0));
        CPPUNIT_ASSERT_EQUAL(engine_.cached_tokens_of("p"), other.cached_tokens_of("p"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_core_test);

}  // namespace tallyfold::tests
