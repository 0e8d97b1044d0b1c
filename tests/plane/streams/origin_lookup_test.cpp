/// @file
/// Guards against a stream that is taken for known or unknown before the stores' answers show it,
/// so that the answer depends on which store is first.

#include "tallyfold/plane/streams/origin_lookup.hpp"

#include <algorithm>
#include <iterator>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace streams;

class origin_lookup_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(origin_lookup_test);
    CPPUNIT_TEST(record_counts_once_no_other_origin_can_be_missing);
    CPPUNIT_TEST(origins_at_different_majorities_are_ambiguous_in_any_order);
    CPPUNIT_TEST(stream_is_unknown_only_once_all_stores_have_answered);
    CPPUNIT_TEST(different_origins_are_ambiguous);
    CPPUNIT_TEST(group_without_stores_knows_no_stream);
    CPPUNIT_TEST_SUITE_END();

    static inline const stream_origin first{"engines", "v1"};
    static inline const stream_origin second{"engines", "v2"};

    void record_counts_once_no_other_origin_can_be_missing() {
        origin_lookup lookup({1, 2, 3}, 2);
        CPPUNIT_ASSERT(lookup.state() == lookup_state::undecided);
        lookup.on_answer(2, {first});
        CPPUNIT_ASSERT(lookup.state() == lookup_state::undecided);
        lookup.on_answer(1, {});
        CPPUNIT_ASSERT(lookup.state() == lookup_state::found);
        CPPUNIT_ASSERT(lookup.origin() == first);
        CPPUNIT_ASSERT(lookup.unanswered() == std::set<turns::store_id>{3});
    }

    void origins_at_different_majorities_are_ambiguous_in_any_order() {
        // Five stores; the first origin is at 1 to 3, the second one at 3 to 5.
        std::vector<turns::store_id> order{1, 2, 3, 4, 5};
        do {
            origin_lookup lookup({1, 2, 3, 4, 5}, 3);
            for (const turns::store_id store : order) {
                std::vector<stream_origin> origins;
                if (store <= 3) {
                    origins.push_back(first);
                }
                if (store >= 3) {
                    origins.push_back(second);
                }
                lookup.on_answer(store, origins);
                CPPUNIT_ASSERT(lookup.state() != lookup_state::found);
            }
            CPPUNIT_ASSERT(lookup.state() == lookup_state::ambiguous);
        } while (std::next_permutation(order.begin(), order.end()));
    }

    void stream_is_unknown_only_once_all_stores_have_answered() {
        origin_lookup lookup({1, 2, 3}, 2);
        lookup.on_answer(1, {});
        lookup.on_answer(1, {});
        lookup.on_answer(3, {});
        CPPUNIT_ASSERT(lookup.state() == lookup_state::undecided);
        lookup.on_answer(2, {});
        CPPUNIT_ASSERT(lookup.state() == lookup_state::unknown);
    }

    void different_origins_are_ambiguous() {
        origin_lookup one_store({1, 2}, 2);
        one_store.on_answer(1, {first, second});
        CPPUNIT_ASSERT(one_store.state() == lookup_state::ambiguous);
        origin_lookup two_stores({1, 2}, 2);
        two_stores.on_answer(1, {first});
        two_stores.on_answer(2, {second});
        CPPUNIT_ASSERT(two_stores.state() == lookup_state::ambiguous);
    }

    void group_without_stores_knows_no_stream() {
        CPPUNIT_ASSERT(origin_lookup({}, 1).state() == lookup_state::unknown);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(origin_lookup_test);

}  // namespace tallyfold::tests
