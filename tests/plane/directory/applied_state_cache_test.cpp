#include "tallyfold/plane/directory/applied_state_cache.hpp"

#include <fstream>

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace directory;

class applied_state_cache_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(applied_state_cache_test);
    CPPUNIT_TEST(newest_saved_state_is_loaded);
    CPPUNIT_TEST(torn_file_falls_back_to_previous_state);
    CPPUNIT_TEST(older_states_after_a_restart_are_not_saved);
    CPPUNIT_TEST(saves_within_the_interval_are_skipped);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration interval = std::chrono::milliseconds(500);

    static directory_state with_version(routing::configuration_version version) {
        replace_configuration change;
        change.parsed.version = version;
        directory_state state;
        state.apply(change);
        return state;
    }

    static routing::configuration_version loaded(const std::string& folder) {
        return applied_state_cache(folder).load().configuration().version;
    }

    void newest_saved_state_is_loaded() {
        const temporary_path folder("cache");
        std::filesystem::create_directory(folder.path());
        CPPUNIT_ASSERT_EQUAL(routing::no_version, loaded(folder.text()));
        applied_state_cache cache(folder.text());
        instant now{std::chrono::seconds(5)};
        for (routing::configuration_version version = 1; version <= 3; ++version) {
            now += interval;
            cache.save(with_version(version), now);
            CPPUNIT_ASSERT_EQUAL(version, loaded(folder.text()));
        }
    }

    void torn_file_falls_back_to_previous_state() {
        const temporary_path folder("cache");
        std::filesystem::create_directory(folder.path());
        applied_state_cache cache(folder.text());
        const instant now{std::chrono::seconds(5)};
        cache.save(with_version(1), now);
        cache.save(with_version(2), now + interval);
        std::ofstream(folder.text() + "/applied-state-1", std::ios::trunc) << "torn";
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, loaded(folder.text()));
        // The next process overwrites the torn file, not the intact one.
        applied_state_cache next(folder.text());
        next.load();
        next.save(with_version(3), now);
        std::ofstream(folder.text() + "/applied-state-1", std::ios::trunc) << "torn";
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, loaded(folder.text()));
    }

    /// Guards against a node that serves an older configuration after its second restart: the log
    /// may be applied in steps, and each of them was saved over the newest state.
    void older_states_after_a_restart_are_not_saved() {
        const temporary_path folder("cache");
        std::filesystem::create_directory(folder.path());
        instant now{std::chrono::seconds(5)};
        applied_state_cache(folder.text()).save(with_version(10), now);
        applied_state_cache restarted(folder.text());
        restarted.load();
        for (routing::configuration_version version = 7; version <= 9; ++version) {
            now += interval;
            restarted.save(with_version(version), now);
            CPPUNIT_ASSERT_EQUAL(routing::configuration_version{10}, loaded(folder.text()));
        }
        restarted.save(with_version(11), now + interval);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{11}, loaded(folder.text()));
    }

    void saves_within_the_interval_are_skipped() {
        const temporary_path folder("cache");
        std::filesystem::create_directory(folder.path());
        applied_state_cache cache(folder.text());
        const instant now{std::chrono::seconds(5)};
        cache.save(with_version(1), now);
        cache.save(with_version(2), now + interval / 2);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1}, loaded(folder.text()));
        cache.save(with_version(2), now + interval);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{2}, loaded(folder.text()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(applied_state_cache_test);

}  // namespace tallyfold::tests
