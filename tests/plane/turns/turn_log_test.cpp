#include "tallyfold/plane/turns/turn_log.hpp"

#include <filesystem>

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"
#include "tests/support/unsynced_folder.hpp"

namespace tallyfold::tests {

namespace fs = std::filesystem;
using namespace turns;

class turn_log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(turn_log_test);
    CPPUNIT_TEST(rotation_writes_each_page_before_it_reads_the_next);
    CPPUNIT_TEST(rotation_preserves_the_contents_of_the_table);
    CPPUNIT_TEST(turns_after_an_interrupted_rotation_survive_a_loss_of_power);
    CPPUNIT_TEST(a_map_read_after_an_interrupted_save_survives_a_loss_of_power);
    CPPUNIT_TEST(an_identity_never_outlives_the_turns_of_a_cleared_folder);
    CPPUNIT_TEST(a_cleared_folder_stays_empty_after_a_loss_of_power);
    CPPUNIT_TEST_SUITE_END();

    static turn_settlement turn(const std::string& request, std::size_t bytes) {
        return {"program", request, 9, 60'000,
                turn_record{request, "", std::string(bytes, 'i'), std::string(bytes, 'o')}};
    }

    turn_log open(turn_table& table) const { return open(table, folder_.text()); }

    static turn_log open(turn_table& table, const std::string& folder) {
        auto opened = turn_log::open(
            folder, 7, [&table](const turn_change& change) { table.apply(change, {}); });
        CPPUNIT_ASSERT(opened.has_value());
        return std::move(*opened);
    }

    std::uint64_t bytes_on_disk() const {
        std::uint64_t bytes = 0;
        for (const auto& entry : fs::directory_iterator(folder_.path())) {
            bytes += entry.file_size();
        }
        return bytes;
    }

    /// Guards against a second copy of the table in memory: each page is written to the file before
    /// the next one is read.
    void rotation_writes_each_page_before_it_reads_the_next() {
        turn_table empty;
        turn_log log = open(empty);
        constexpr std::size_t page_bytes = 10'000;
        constexpr int pages = 5;
        int made = 0;
        std::uint64_t before = bytes_on_disk();
        const auto rotated = log.rotate([&](const std::string&) {
            const std::uint64_t now = bytes_on_disk();
            CPPUNIT_ASSERT(made == 0 || now >= before + 2 * page_bytes);
            before = now;
            ++made;
            const std::string next = made < pages ? std::to_string(made) : std::string{};
            return change_page{{turn("t" + std::to_string(made), page_bytes)}, next};
        });
        CPPUNIT_ASSERT(rotated.has_value());
        CPPUNIT_ASSERT_EQUAL(pages, made);
    }

    void rotation_preserves_the_contents_of_the_table() {
        turn_table table;
        for (int number = 0; number < 300; ++number) {
            table.apply(turn("t" + std::to_string(number), 50), {});
            table.apply(turn_reservation{"other", "r" + std::to_string(number), 12, 1'000}, {});
        }
        {
            turn_table empty;
            turn_log log = open(empty);
            CPPUNIT_ASSERT(log.rotate([&table](const std::string& after) {
                                  return table.page_after(after, {}, 2'000, {});
                              })
                               .has_value());
            CPPUNIT_ASSERT(log.append({turn("late", 10)}).has_value());
        }
        turn_table read_back;
        const turn_log log = open(read_back);
        CPPUNIT_ASSERT_EQUAL(std::size_t{301}, read_back.turn_count());
        CPPUNIT_ASSERT_EQUAL(table.ledger_of("other").size(), read_back.ledger_of("other").size());
        CPPUNIT_ASSERT(read_back.holds_turn("late"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, log.truncated_bytes());
    }

    /// Guards against acknowledged turns that are lost with the power, because the process before
    /// was killed between the rename of the segment and the sync of the folder.
    void turns_after_an_interrupted_rotation_survive_a_loss_of_power() {
        unsynced_folder folder("turns");
        {
            turn_table table;
            turn_log log = open(table, folder.text());
            CPPUNIT_ASSERT(log.append({turn("first", 10)}).has_value());
            table.apply(turn("first", 10), {});
            folder.refuse_syncs(true);
            CPPUNIT_ASSERT(!log.rotate([&table](const std::string& after) {
                                   return table.page_after(after, {}, 2'000, {});
                               })
                                .has_value());
            folder.refuse_syncs(false);
        }
        {
            turn_table table;
            turn_log log = open(table, folder.text());
            CPPUNIT_ASSERT(table.holds_turn("first"));
            CPPUNIT_ASSERT(log.append({turn("second", 10)}).has_value());
        }
        folder.lose_power();
        turn_table read_back;
        open(read_back, folder.text());
        CPPUNIT_ASSERT(read_back.holds_turn("first"));
        CPPUNIT_ASSERT(read_back.holds_turn("second"));
    }

    static store_map map_with_epoch(map_epoch epoch) {
        store_map map;
        map.epoch = epoch;
        return map;
    }

    /// Guards against a store that serves an older map again after it has refused it.
    void a_map_read_after_an_interrupted_save_survives_a_loss_of_power() {
        unsynced_folder folder("turns");
        turn_table table;
        {
            turn_log log = open(table, folder.text());
            CPPUNIT_ASSERT(log.save_map(map_with_epoch(4)).has_value());
            folder.refuse_syncs(true);
            CPPUNIT_ASSERT(!log.save_map(map_with_epoch(5)).has_value());
            folder.refuse_syncs(false);
        }
        const map_epoch read = open(table, folder.text()).load_map().value().epoch;
        CPPUNIT_ASSERT_EQUAL(map_epoch{5}, read);
        folder.lose_power();
        CPPUNIT_ASSERT_EQUAL(read, open(table, folder.text()).load_map().value().epoch);
    }

    /// Guards against a store that answers under its identity without the turns that it has
    /// acknowledged.
    void an_identity_never_outlives_the_turns_of_a_cleared_folder() {
        check_property("an identity has its turns", [](std::uint64_t seed) {
            random_source random(seed);
            unsynced_folder folder("turns");
            turn_table none;
            CPPUNIT_ASSERT(open(none, folder.text()).append({turn("first", 10)}).has_value());
            (void)turn_log::clear(folder.text());
            folder.lose_power(random);
            turn_table read_back;
            const auto opened = turn_log::open(
                folder.text(), 8,
                [&read_back](const turn_change& change) { read_back.apply(change, {}); });
            const bool keeps_identity = opened && opened->identity() == 7;
            RC_ASSERT(!keeps_identity || read_back.holds_turn("first"));
        });
    }

    /// Guards against old turns under the identity that follows a cleared one.
    void a_cleared_folder_stays_empty_after_a_loss_of_power() {
        unsynced_folder folder("turns");
        turn_table none;
        CPPUNIT_ASSERT(open(none, folder.text()).append({turn("first", 10)}).has_value());
        CPPUNIT_ASSERT(turn_log::clear(folder.text()).has_value());
        folder.lose_power();
        CPPUNIT_ASSERT(fs::is_empty(folder.path()));
    }

    const temporary_path folder_{"turns"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(turn_log_test);

}  // namespace tallyfold::tests
