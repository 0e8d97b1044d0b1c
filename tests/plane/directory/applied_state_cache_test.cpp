#include "tallyfold/plane/directory/applied_state_cache.hpp"

#include <fstream>

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace directory;

class applied_state_cache_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(applied_state_cache_test);
    CPPUNIT_TEST(the_newest_note_is_recalled);
    CPPUNIT_TEST(a_torn_note_leaves_the_one_before);
    CPPUNIT_TEST(notes_in_quick_succession_are_left_out);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration interval = std::chrono::milliseconds(500);

    static directory_state with_version(routing::configuration_version version) {
        replace_configuration change;
        change.parsed.version = version;
        directory_state state;
        state.apply(change);
        return state;
    }

    static routing::configuration_version recalled(const std::string& folder) {
        return applied_state_cache(folder).recall().configuration().version;
    }

    void the_newest_note_is_recalled() {
        const temporary_path folder("notes");
        std::filesystem::create_directory(folder.path());
        CPPUNIT_ASSERT_EQUAL(routing::no_version, recalled(folder.text()));
        applied_state_cache notes(folder.text());
        instant now{std::chrono::seconds(5)};
        for (routing::configuration_version version = 1; version <= 3; ++version) {
            now += interval;
            notes.note(with_version(version), now);
            CPPUNIT_ASSERT_EQUAL(version, recalled(folder.text()));
        }
    }

    void a_torn_note_leaves_the_one_before() {
        const temporary_path folder("notes");
        std::filesystem::create_directory(folder.path());
        applied_state_cache notes(folder.text());
        const instant now{std::chrono::seconds(5)};
        notes.note(with_version(1), now);
        notes.note(with_version(2), now + interval);
        std::ofstream(folder.text() + "/applied-state-1", std::ios::trunc) << "torn";
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, recalled(folder.text()));
        // The next life writes over the torn one, not over the one that is left.
        applied_state_cache next(folder.text());
        next.recall();
        next.note(with_version(3), now);
        std::ofstream(folder.text() + "/applied-state-1", std::ios::trunc) << "torn";
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, recalled(folder.text()));
    }

    void notes_in_quick_succession_are_left_out() {
        const temporary_path folder("notes");
        std::filesystem::create_directory(folder.path());
        applied_state_cache notes(folder.text());
        const instant now{std::chrono::seconds(5)};
        notes.note(with_version(1), now);
        notes.note(with_version(2), now + interval / 2);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, recalled(folder.text()));
        notes.note(with_version(2), now + interval);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{2}, recalled(folder.text()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(applied_state_cache_test);

}  // namespace tallyfold::tests
