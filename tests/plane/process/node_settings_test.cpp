#include "tallyfold/plane/process/node_settings.hpp"

#include "tests/support/suite.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

using namespace settings;

class node_settings_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(node_settings_test);
    CPPUNIT_TEST(missing_keys_have_defaults);
    CPPUNIT_TEST(accepts_settings_file_of_first_release);
    CPPUNIT_TEST(listen_address_may_differ_from_advertised);
    CPPUNIT_TEST(reports_every_invalid_key);
    CPPUNIT_TEST(disables_mechanisms_by_name);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* required_keys =
        "node = \"n\"\nzone = \"z\"\nip = \"10.0.0.1\"\nseeds = [\"10.0.0.2:80\"]\n"
        "directory_port = 71\nstore_port = 72\n";

    void missing_keys_have_defaults() {
        const auto read = read_node_settings(file_.write(required_keys));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->policy_file.empty());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, read->tolerated_losses);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:72"), read->store_address());
        CPPUNIT_ASSERT_EQUAL(read->store_address(), read->store_listener());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.2:71"), read->seed_directories().front());
    }

    /// Guards against new required keys: settings files of the first release have only these.
    void accepts_settings_file_of_first_release() {
        const auto read = read_node_settings(file_.write(
            std::string(required_keys) +
            "first_start = \"false\"\ndata_folder = \"/data\"\nlosses_borne = 1\n"
            "callers_address = \"10.0.0.1:80\"\nreadiness_address = \"10.0.0.1:81\"\n"
            "operators_address = \"\"\nmetrics_port = 9464\n"
            "backend_list_address = \"10.0.0.9:82\"\npolicy_file = \"policies/platform.lua\"\n"
            "grace_seconds = 8\nacknowledge_ms = 4000\n"));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(!read->refuses_stale_keys);
    }

    void listen_address_may_differ_from_advertised() {
        const auto read = read_node_settings(
            file_.write(std::string(required_keys) + "listen_ip = \"10.0.9.1\"\n"));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:71"), read->directory_address());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.9.1:71"), read->directory_listener());
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.9.1:72"), read->store_listener());
    }

    void reports_every_invalid_key() {
        const auto read = read_node_settings(
            file_.write("node = 7\nseeds = [\"host:80\"]\ngrace_seconds = 0\nspeed = 1\n"));
        CPPUNIT_ASSERT(!read.has_value());
        std::string all;
        for (const settings_problem& problem : read.error()) {
            CPPUNIT_ASSERT_EQUAL(file_.text(), problem.file);
            all += problem.key + " ";
        }
        for (const std::string key : {"node", "zone", "ip", "seeds", "grace_seconds", "speed"}) {
            CPPUNIT_ASSERT_MESSAGE(key, all.find(key) != std::string::npos);
        }
    }

    void disables_mechanisms_by_name() {
        const auto read = read_node_settings(
            file_.write(std::string(required_keys) +
                        "switched_off = [\"continuation\"]\nplacement = \"round_robin\"\n"));
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->disabled.contains(mechanism::stream_resume));
        CPPUNIT_ASSERT(!read->disabled.contains(mechanism::silence));
        CPPUNIT_ASSERT_EQUAL(std::string("round_robin"), read->placement);
        const auto wrong = read_node_settings(file_.write(
            std::string(required_keys) + "switched_off = [\"magic\"]\nplacement = \"oracle\"\n"));
        CPPUNIT_ASSERT(!wrong.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, wrong.error().size());
    }

    const temporary_path file_{"node-settings"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_settings_test);

}  // namespace tallyfold::tests
