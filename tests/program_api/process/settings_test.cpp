#include <fstream>
#include <iterator>

#include "tallyfold/program_api/process/process_settings.hpp"
#include "tests/support/source_root.hpp"
#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace settings;

class settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(settings_test);
    CPPUNIT_TEST(complete_file_is_read);
    CPPUNIT_TEST(problems_of_a_process_file_are_reported_with_file_and_key);
    CPPUNIT_TEST(arbitrary_process_file_is_read_or_rejected);
    CPPUNIT_TEST(every_key_is_documented);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* complete_settings =
        "node = \"gateway-1\"\nhttp_listen = \"127.0.0.1:8080\"\nkey_file = \"k\"\n"
        "[control]\ncontrol-1 = \"127.0.0.1:7100\"\n";

    void complete_file_is_read() {
        const auto read = read_gateway(file_.write(complete_settings));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("gateway-1"), read->core.node);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read->control.size());
    }

    void problems_of_a_process_file_are_reported_with_file_and_key() {
        const auto read = read_gateway(file_.write(
            "node = 7\nhttp_listen = \"localhost:80\"\nrequest_limit = 0\nspeed = 1\n"));
        CPPUNIT_ASSERT(!read.has_value());
        std::string all;
        for (const settings_problem& problem : read.error()) {
            CPPUNIT_ASSERT_EQUAL(file_.text(), problem.file);
            CPPUNIT_ASSERT(!problem.reason.empty());
            all += problem.key + " ";
        }
        for (const std::string key :
             {"node", "http_listen", "request_limit", "speed", "key_file", "control"}) {
            CPPUNIT_ASSERT_MESSAGE(key, all.find(key) != std::string::npos);
        }
    }

    void arbitrary_process_file_is_read_or_rejected() {
        check_property("no file crashes a reader", [this] {
            const std::string text = *any_bytes() + "\nnode = \"x\"\n" + *any_bytes();
            const auto read = read_scheduler(file_.write(text));
            RC_ASSERT(!read.has_value());
            RC_ASSERT(!read.error().empty());
        });
    }

    void every_key_is_documented() {
        std::ifstream file(source_root() + "/docs/CONFIGURATION.md");
        const std::string page((std::istreambuf_iterator<char>(file)), {});
        for (const std::string program : {"gateway", "scheduler", "control"}) {
            for (const std::string& key : all_keys(program)) {
                CPPUNIT_ASSERT_MESSAGE(program + " " + key,
                                       page.find("`" + key + "`") != std::string::npos);
            }
        }
    }

    const temporary_path file_{"settings"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(settings_test);

}  // namespace tallyfold::tests
