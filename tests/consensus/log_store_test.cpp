#include "tallyfold/consensus/log_store.hpp"

#include <filesystem>
#include <fstream>
#include <set>

#include "tallyfold/base/storage/record_format.hpp"
#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"
#include "tests/support/unsynced_folder.hpp"

namespace tallyfold::tests {

namespace fs = std::filesystem;
using namespace storage;

class log_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_store_test);
    CPPUNIT_TEST(written_entries_are_recovered);
    CPPUNIT_TEST(a_torn_tail_is_truncated_at_every_length);
    CPPUNIT_TEST(a_flipped_bit_before_the_tail_is_reported_as_damage);
    CPPUNIT_TEST(an_emptied_folder_gets_a_new_identity);
    CPPUNIT_TEST(rotation_keeps_the_live_state);
    CPPUNIT_TEST(a_live_state_over_the_segment_size_is_not_written_with_each_entry);
    CPPUNIT_TEST(arbitrary_bytes_after_a_record_are_truncated_or_refused);
    CPPUNIT_TEST(entries_after_an_interrupted_rotation_survive_a_loss_of_power);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<consensus::group_write> entries(consensus::log_index from,
                                                       consensus::log_index to) {
        consensus::group_write write;
        write.group = 1;
        write.state = consensus::hard_state{4, 7};
        for (consensus::log_index index = from; index <= to; ++index) {
            write.entries.push_back(
                {4, index, consensus::entry_kind::command, "entry " + std::to_string(index)});
        }
        return {write};
    }

    log_store open(std::uint64_t segment_bytes = log_store::default_segment_bytes) {
        auto opened = log_store::open(folder_.text(), 77, segment_bytes);
        CPPUNIT_ASSERT_MESSAGE(opened ? "" : opened.error().detail, opened.has_value());
        return std::move(*opened);
    }

    fs::path newest_segment() const {
        fs::path newest;
        for (const auto& file : fs::directory_iterator(folder_.path())) {
            const std::string name = file.path().filename().string();
            if (name.starts_with("segment-") && (newest.empty() || file.path() > newest)) {
                newest = file.path();
            }
        }
        return newest;
    }

    void written_entries_are_recovered() {
        {
            log_store store = open();
            CPPUNIT_ASSERT(store.write(entries(1, 5)).has_value());
            // Overwriting an entry drops all that follow it.
            CPPUNIT_ASSERT(store.write(entries(4, 4)).has_value());
        }
        const log_store reopened = open();
        const auto& group = reopened.recovered().groups.at(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, group.entries.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, group.state.term);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77}, reopened.recovered().identity);
    }

    void a_torn_tail_is_truncated_at_every_length() {
        {
            log_store store = open();
            CPPUNIT_ASSERT(store.write(entries(1, 2)).has_value());
        }
        const auto whole = fs::file_size(newest_segment());
        {
            log_store store = open();
            CPPUNIT_ASSERT(store.write(entries(3, 3)).has_value());
        }
        const auto longer = fs::file_size(newest_segment());
        for (auto length = longer - 1; length > whole; --length) {
            fs::resize_file(newest_segment(), length);
            const log_store cut = open();
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cut.recovered().groups.at(1).entries.size());
            CPPUNIT_ASSERT(fs::file_size(newest_segment()) <= length);
            // Extend the file again, so that the next shorter length can be tested.
            fs::resize_file(newest_segment(), length);
        }
    }

    void a_flipped_bit_before_the_tail_is_reported_as_damage() {
        {
            log_store store = open();
            CPPUNIT_ASSERT(store.write(entries(1, 20)).has_value());
            CPPUNIT_ASSERT(store.write(entries(21, 22)).has_value());
        }
        std::fstream file(newest_segment(), std::ios::in | std::ios::out | std::ios::binary);
        constexpr int offset = 60;
        file.seekg(offset);
        const char flipped = static_cast<char>(file.get() ^ 1);
        file.seekp(offset);
        file.put(flipped);
        file.close();
        const auto opened = log_store::open(folder_.text(), 78);
        CPPUNIT_ASSERT(!opened.has_value());
        CPPUNIT_ASSERT(opened.error().failure == storage_failure::damaged);
        CPPUNIT_ASSERT(opened.error().detail.find("segment-") != std::string::npos);
    }

    void an_emptied_folder_gets_a_new_identity() {
        { (void)open(); }
        fs::remove_all(folder_.path());
        const auto opened = log_store::open(folder_.text(), 99);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, opened->recovered().identity);
        CPPUNIT_ASSERT(opened->recovered().groups.empty());
    }

    /// Guards against a rewrite on each write once the live entries exceed the segment size.
    /// Reproduces huayin-preview-grown scale-2 --seed 12763920105.
    void a_live_state_over_the_segment_size_is_not_written_with_each_entry() {
        constexpr std::uint64_t segment_bytes = 2048;
        log_store store = open(segment_bytes);
        constexpr consensus::log_index writes = 400;
        std::set<fs::path> segments;
        for (consensus::log_index index = 1; index <= writes; ++index) {
            CPPUNIT_ASSERT(store.write(entries(index, index)).has_value());
            for (const auto& file : fs::directory_iterator(folder_.path())) {
                segments.insert(file.path());
            }
        }
        CPPUNIT_ASSERT(segments.size() <= writes / 20);
    }

    void rotation_keeps_the_live_state() {
        {
            log_store store = open(2048);
            for (consensus::log_index index = 1; index <= 200; ++index) {
                CPPUNIT_ASSERT(store.write(entries(index, index)).has_value());
            }
            consensus::group_write compacted;
            compacted.group = 1;
            compacted.base = consensus::snapshot{150, 4, {}, "state at 150"};
            CPPUNIT_ASSERT(store.write({compacted}).has_value());
            CPPUNIT_ASSERT(store.write(entries(201, 230)).has_value());
        }
        const log_store reopened = open(2048);
        const auto& group = reopened.recovered().groups.at(1);
        CPPUNIT_ASSERT_EQUAL(std::string("state at 150"), group.base.state);
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, group.entries.size());
    }

    /// Guards against acknowledged entries that are lost with the power, because the process before
    /// was killed between the rename of the segment and the sync of the folder.
    void entries_after_an_interrupted_rotation_survive_a_loss_of_power() {
        constexpr std::uint64_t segment_bytes = 512;
        const auto open_in = [](const unsynced_folder& folder) {
            auto opened = log_store::open(folder.text(), 77, segment_bytes);
            CPPUNIT_ASSERT_MESSAGE(opened ? "" : opened.error().detail, opened.has_value());
            return std::move(*opened);
        };
        unsynced_folder folder("store");
        consensus::log_index last = 0;
        {
            log_store store = open_in(folder);
            folder.refuse_syncs(true);
            while (store.write(entries(last + 1, last + 1))) {
                ++last;
            }
            folder.refuse_syncs(false);
        }
        {
            log_store store = open_in(folder);
            last = store.recovered().groups.at(1).entries.back().index + 1;
            CPPUNIT_ASSERT(store.write(entries(last, last)).has_value());
        }
        folder.lose_power();
        const log_store reopened = open_in(folder);
        const auto group = reopened.recovered().groups.find(1);
        CPPUNIT_ASSERT(group != reopened.recovered().groups.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{last}, group->second.entries.size());
    }

    void arbitrary_bytes_after_a_record_are_truncated_or_refused() {
        check_property("a scan never reads beyond the end", [] {
            const std::string noise = *any_bytes();
            std::string bytes;
            append_record(bytes, "first");
            bytes += noise;
            const auto scanned = scan_records(bytes, "file");
            if (scanned) {
                RC_ASSERT(scanned->valid_length <= bytes.size());
                RC_ASSERT(scanned->payloads.front() == "first");
            } else {
                RC_ASSERT(scanned.error().failure == storage_failure::damaged);
            }
        });
    }

    const temporary_path folder_{"store"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_store_test);

}  // namespace tallyfold::tests
