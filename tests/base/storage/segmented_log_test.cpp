#include "tallyfold/base/storage/segmented_log.hpp"

#include <sys/resource.h>

#include <vector>

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"
#include "tests/support/unsynced_folder.hpp"

namespace tallyfold::tests {

using namespace storage;

class segmented_log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(segmented_log_test);
    CPPUNIT_TEST(a_failed_rewrite_loses_no_appended_records);
    CPPUNIT_TEST(a_new_folder_is_durable_in_its_parent);
    CPPUNIT_TEST_SUITE_END();

    /// Prevents opening files during its lifetime.
    class descriptor_exhaustion {
      public:
        descriptor_exhaustion() {
            getrlimit(RLIMIT_NOFILE, &before_);
            rlimit none{0, before_.rlim_max};
            setrlimit(RLIMIT_NOFILE, &none);
        }
        ~descriptor_exhaustion() { setrlimit(RLIMIT_NOFILE, &before_); }
        descriptor_exhaustion(const descriptor_exhaustion&) = delete;
        descriptor_exhaustion& operator=(const descriptor_exhaustion&) = delete;

      private:
        rlimit before_{};
    };

    static segmented_log opened(const std::string& folder, std::vector<std::string>& payloads) {
        segmented_log log(folder, "part-", 1U << 20U);
        const auto opened = log.open(tail_policy::truncate_torn, [&](std::string_view payload) {
            payloads.emplace_back(payload);
            return tl::expected<void, storage_error>{};
        });
        CPPUNIT_ASSERT(opened.has_value());
        return log;
    }

    static std::string record(const std::string& payload) {
        std::string bytes;
        append_record(bytes, payload);
        return bytes;
    }

    // Guards against loss of synced records: after a rewrite that fails once the new segment is
    // renamed, a restart reads the new segment, so records must not go to the old one.
    void a_failed_rewrite_loses_no_appended_records() {
        const temporary_path folder("tallyfold-segmented-log");
        std::filesystem::create_directories(folder.path());
        std::vector<std::string> none;
        segmented_log log = opened(folder.path(), none);
        CPPUNIT_ASSERT(log.append(record("first")).has_value());
        std::optional<descriptor_exhaustion> no_descriptors;
        const auto rewritten = log.rewrite([&](std::string& bytes) {
            bytes = record("first");
            no_descriptors.emplace();
            return false;
        });
        no_descriptors.reset();
        CPPUNIT_ASSERT(!rewritten.has_value());
        const bool added = log.append(record("second")).has_value();
        std::vector<std::string> kept;
        opened(folder.path(), kept);
        const std::vector<std::string> expected =
            added ? std::vector<std::string>{"first", "second"} : std::vector<std::string>{"first"};
        CPPUNIT_ASSERT(kept == expected);
    }

    // Guards against a data folder that is gone with all its files after a loss of power.
    void a_new_folder_is_durable_in_its_parent() {
        const unsynced_folder parent("tallyfold-data-parent");
        const std::string folder = parent.text() + "/outer/data";
        CPPUNIT_ASSERT(open_folder(folder).has_value());
        CPPUNIT_ASSERT(std::filesystem::is_directory(folder));
        const std::set<std::string> expected{parent.text(), parent.text() + "/outer", folder};
        CPPUNIT_ASSERT(parent.synced_folders() == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(segmented_log_test);

}  // namespace tallyfold::tests
