/// @file
/// Opening a store's folder. Guards against treating a record in an unknown format as damage:
/// emptying the folders of all machines for it would lose a group's turns.

#include <fstream>
#include <iterator>

#include "tallyfold/base/protocol/stored_value.hpp"
#include "tallyfold/base/storage/record_file.hpp"
#include "tallyfold/plane/turns/store_folder_shell.hpp"
#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace turns;

class store_folder_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_folder_test);
    CPPUNIT_TEST(a_map_in_a_newer_format_is_refused_and_left_unchanged);
    CPPUNIT_TEST(turns_in_a_newer_format_are_refused_and_left_unchanged);
    CPPUNIT_TEST(a_store_with_a_damaged_log_gets_a_new_identity);
    CPPUNIT_TEST(a_map_is_written_in_the_oldest_sufficient_format);
    CPPUNIT_TEST_SUITE_END();

    static std::string newer_format() {
        const std::uint64_t mark = protocol::format_version_marker | 3U;
        return std::string(reinterpret_cast<const char*>(&mark), sizeof(mark)) + "whatever";
    }

    static std::string read(const std::filesystem::path& path) {
        std::ifstream file(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    static void write(const std::filesystem::path& path, const std::string& bytes) {
        std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
    }

    static store_map map_of_one() {
        store_map map;
        map.epoch = 5;
        map.current = {{1, "store-1", "10.0.0.1:7100", "zone"}};
        return map;
    }

    /// Creates a folder with a map and a reservation. @return the store's identity
    static store_id create_used_folder(const temporary_path& folder) {
        auto opened = open_store(folder.text());
        CPPUNIT_ASSERT(opened.has_value());
        CPPUNIT_ASSERT(opened->log.save_map(map_of_one()).has_value());
        CPPUNIT_ASSERT(
            opened->log.append({turn_reservation{"program", "request", 1, 1'000}}).has_value());
        return opened->log.identity();
    }

    void a_map_in_a_newer_format_is_refused_and_left_unchanged() {
        const temporary_path folder("store-folder");
        create_used_folder(folder);
        const std::string later = storage::single_record(newer_format());
        write(folder.path() / "store-map", later);
        CPPUNIT_ASSERT(!open_store(folder.text()).has_value());
        CPPUNIT_ASSERT_EQUAL(later, read(folder.path() / "store-map"));
        CPPUNIT_ASSERT(std::filesystem::exists(folder.path() / "turns-1"));
    }

    void turns_in_a_newer_format_are_refused_and_left_unchanged() {
        const temporary_path folder("store-folder");
        const store_id identity = create_used_folder(folder);
        const std::string before = read(folder.path() / "turns-1");
        const std::string after = before + storage::single_record(newer_format());
        write(folder.path() / "turns-1", after);
        CPPUNIT_ASSERT(!open_store(folder.text()).has_value());
        CPPUNIT_ASSERT_EQUAL(after, read(folder.path() / "turns-1"));
        // Without the unreadable record, the folder opens with its identity and contents.
        write(folder.path() / "turns-1", before);
        const auto opened = open_store(folder.text());
        CPPUNIT_ASSERT(opened.has_value());
        CPPUNIT_ASSERT_EQUAL(identity, opened->log.identity());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, opened->state.turns().program_count());
    }

    void a_store_with_a_damaged_log_gets_a_new_identity() {
        const temporary_path folder("store-folder");
        const store_id identity = create_used_folder(folder);
        std::string bytes = read(folder.path() / "turns-1");
        const std::string whole = bytes;
        bytes[bytes.size() / 2] ^= 0x40;
        write(folder.path() / "turns-1", bytes + whole);
        const auto opened = open_store(folder.text());
        CPPUNIT_ASSERT(opened.has_value());
        CPPUNIT_ASSERT(identity != opened->log.identity());
    }

    void a_map_is_written_in_the_oldest_sufficient_format() {
        using protocol::format_version;
        store_map map = map_of_one();
        CPPUNIT_ASSERT(protocol::encode_stored(map) ==
                       protocol::encode_as(map, format_version::v1).value());
        map.after_loss = true;
        CPPUNIT_ASSERT(!protocol::encode_as(map, format_version::v1).has_value());
        CPPUNIT_ASSERT(protocol::decode_stored<store_map>(protocol::encode_stored(map)) == map);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_folder_test);

}  // namespace tallyfold::tests
