#include "tallyfold/storage/record_reader.hpp"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

namespace fs = std::filesystem;
using namespace storage;

class record_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_reader_test);
    CPPUNIT_TEST(records_larger_than_a_block_are_read);
    CPPUNIT_TEST(a_missing_file_is_an_error);
    CPPUNIT_TEST(any_file_is_read_as_when_it_is_scanned_at_once);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        path_ = fs::temp_directory_path() / ("tallyfold-records-" + std::to_string(getpid()));
    }
    void tearDown() override { fs::remove(path_); }

  private:
    struct outcome {
        std::vector<std::string> payloads;
        std::uint64_t valid_length = 0;
        bool damaged = false;

        bool operator==(const outcome&) const = default;
    };

    outcome read(tail_policy policy) const {
        auto reader = record_reader::open(path_.string(), policy);
        CPPUNIT_ASSERT(reader.has_value());
        outcome result;
        while (true) {
            const auto payload = reader->next();
            if (!payload) {
                return {{}, 0, true};
            }
            if (!payload->has_value()) {
                result.valid_length = reader->valid_length();
                return result;
            }
            result.payloads.emplace_back(**payload);
        }
    }

    static outcome scan(const std::string& bytes, tail_policy policy) {
        const auto scanned = scan_records(bytes, "file", policy);
        if (!scanned) {
            return {{}, 0, true};
        }
        outcome result;
        for (const std::string_view payload : scanned->payloads) {
            result.payloads.emplace_back(payload);
        }
        result.valid_length = scanned->valid_length;
        return result;
    }

    void write(const std::string& bytes) const {
        std::ofstream(path_, std::ios::binary | std::ios::trunc) << bytes;
    }

    void records_larger_than_a_block_are_read() {
        const std::string large(300'000, 'x');
        std::string bytes;
        append_record(bytes, "small");
        append_record(bytes, large);
        append_record(bytes, "last");
        write(bytes);
        const outcome result = read(tail_policy::refuse);
        CPPUNIT_ASSERT(result.payloads == std::vector<std::string>({"small", large, "last"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{bytes.size()}, result.valid_length);
    }

    void a_missing_file_is_an_error() {
        CPPUNIT_ASSERT(!record_reader::open(path_.string(), tail_policy::refuse).has_value());
    }

    void any_file_is_read_as_when_it_is_scanned_at_once() {
        check_property("reader and scan agree", [this](const std::vector<std::string>& payloads,
                                                       std::uint32_t cut, std::uint32_t flip,
                                                       bool cuts, bool flips) {
            std::string bytes;
            for (const std::string& payload : payloads) {
                append_record(bytes, payload + "!");
            }
            if (cuts && !bytes.empty()) {
                bytes.resize(cut % bytes.size());
            }
            if (flips && !bytes.empty()) {
                bytes[flip % bytes.size()] ^= 0x10;
            }
            write(bytes);
            for (const tail_policy policy : {tail_policy::refuse, tail_policy::cut_unsynced}) {
                RC_ASSERT(read(policy) == scan(bytes, policy));
            }
        });
    }

    fs::path path_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_reader_test);

}  // namespace tallyfold::tests
