#include "tallyfold/base/storage/record_reader.hpp"

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace storage;

class record_reader_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(record_reader_test);
    CPPUNIT_TEST(records_larger_than_a_block_are_read);
    CPPUNIT_TEST(a_missing_file_is_an_error);
    CPPUNIT_TEST(reader_and_scan_agree_on_any_file);
    CPPUNIT_TEST_SUITE_END();

    struct outcome {
        std::vector<std::string> payloads;
        std::uint64_t valid_length = 0;
        bool damaged = false;

        bool operator==(const outcome&) const = default;
    };

    outcome read(tail_policy policy) const {
        auto reader = record_reader::open(file_.text(), policy);
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

    void records_larger_than_a_block_are_read() {
        const std::string large(300'000, 'x');
        std::string bytes;
        append_record(bytes, "small");
        append_record(bytes, large);
        append_record(bytes, "last");
        file_.write(bytes);
        const outcome result = read(tail_policy::refuse);
        CPPUNIT_ASSERT(result.payloads == std::vector<std::string>({"small", large, "last"}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{bytes.size()}, result.valid_length);
    }

    void a_missing_file_is_an_error() {
        CPPUNIT_ASSERT(!record_reader::open(file_.text(), tail_policy::refuse).has_value());
    }

    void reader_and_scan_agree_on_any_file() {
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
            file_.write(bytes);
            for (const tail_policy policy : {tail_policy::refuse, tail_policy::truncate_torn}) {
                RC_ASSERT(read(policy) == scan(bytes, policy));
            }
        });
    }

    const temporary_path file_{"records"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_reader_test);

}  // namespace tallyfold::tests
