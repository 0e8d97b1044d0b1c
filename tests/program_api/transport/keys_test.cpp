#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "tallyfold/program_api/transport/cluster_keys.hpp"
#include "tallyfold/program_api/transport/operator_keys.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace net;

class keys_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(keys_test);
    CPPUNIT_TEST(every_key_in_the_file_is_accepted);
    CPPUNIT_TEST(removed_key_is_rejected);
    CPPUNIT_TEST(signed_request_authenticates_its_operator);
    CPPUNIT_TEST(modified_or_expired_request_is_rejected);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        path_ =
            std::filesystem::temp_directory_path() / ("tallyfold-keys-" + std::to_string(getpid()));
    }
    void tearDown() override { std::filesystem::remove(path_); }

  private:
    static constexpr const char* old_key = "0123456789abcdef-old";
    static constexpr const char* new_key = "0123456789abcdef-new";

    void write(const std::string& text, int age_seconds) {
        std::ofstream(path_) << text;
        // cluster_keys reloads by modification time, whose resolution may be coarse.
        std::filesystem::last_write_time(path_, std::filesystem::file_time_type::clock::now() -
                                                    std::chrono::seconds(age_seconds));
    }

    void every_key_in_the_file_is_accepted() {
        write(std::string(new_key) + "\n" + old_key + "\n", 5);
        cluster_keys keys(path_.string());
        CPPUNIT_ASSERT(keys.verify("text", keyed_hash(old_key, "text")));
        CPPUNIT_ASSERT(keys.verify("text", keyed_hash(new_key, "text")));
        CPPUNIT_ASSERT(!keys.verify("text", keyed_hash("0123456789abcdef-bad", "text")));
        CPPUNIT_ASSERT(keys.prove("text").value() == keyed_hash(new_key, "text"));
    }

    void removed_key_is_rejected() {
        write(std::string(new_key) + "\n" + old_key + "\n", 5);
        cluster_keys keys(path_.string());
        CPPUNIT_ASSERT(keys.verify("text", keyed_hash(old_key, "text")));
        write(std::string(new_key) + "\n", 1);
        CPPUNIT_ASSERT(!keys.verify("text", keyed_hash(old_key, "text")));
    }

    static signed_request request(const std::string& key, const std::string& time = "1000") {
        signed_request made{"ops", time, {}, "POST", "/v1/changes", "{}"};
        made.proof = prove_request(key, made);
        return made;
    }

    void signed_request_authenticates_its_operator() {
        write(std::string("ops editor ") + new_key + "\nwatch viewer " + old_key + "\n", 1);
        const operator_keys keys(path_.string());
        CPPUNIT_ASSERT(keys.check(request(new_key), 1010).value() == operator_role::editor);
        CPPUNIT_ASSERT(!keys.check(request(old_key), 1010).has_value());
        CPPUNIT_ASSERT(!keys.check(request(""), 1010).has_value());
    }

    void modified_or_expired_request_is_rejected() {
        write(std::string("ops editor ") + new_key + "\n", 1);
        const operator_keys keys(path_.string());
        signed_request changed = request(new_key);
        changed.body = "{\"x\":1}";
        CPPUNIT_ASSERT(!keys.check(changed, 1000).has_value());
        CPPUNIT_ASSERT(!keys.check(request(new_key), 2000).has_value());
        CPPUNIT_ASSERT(!keys.check(request(new_key, "soon"), 1000).has_value());
    }

    std::filesystem::path path_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(keys_test);

}  // namespace tallyfold::tests
