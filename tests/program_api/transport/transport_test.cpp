#include "tallyfold/program_api/transport/transport.hpp"

#include <unistd.h>

#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <vector>

#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace net;

/// One end of a connection, which counts its messages, losses and events.
class test_endpoint {
  public:
    test_endpoint(const node_name& node, const std::string& listen, const std::string& keys)
        : transport_({node, listen, keys}, handlers()) {
        CPPUNIT_ASSERT_EQUAL(std::string(), transport_.start());
    }
    ~test_endpoint() { transport_.stop(); }
    test_endpoint(const test_endpoint&) = delete;
    test_endpoint& operator=(const test_endpoint&) = delete;

    transport& get_transport() { return transport_; }
    /// Waits until `what` was counted `count` times; false after a time limit.
    bool wait_for(const std::string& what, std::size_t count) {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, std::chrono::seconds(20),
                                 [&] { return counts_[what] >= count; });
    }
    std::size_t count(const std::string& what) {
        const std::lock_guard lock(mutex_);
        return counts_[what];
    }

  private:
    transport_handlers handlers() {
        transport_handlers made;
        made.on_message = [this](const node_name& from, protocol::internal_message&) {
            count_event("message from " + from);
            return true;
        };
        made.on_lost = [this](const node_name& node) {
            count_event("lost " + node);
            return true;
        };
        made.on_event = [this](const logging::event_record& record) {
            count_event("event " + std::to_string(static_cast<int>(record.id)));
        };
        return made;
    }
    void count_event(const std::string& what) {
        const std::lock_guard lock(mutex_);
        ++counts_[what];
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::size_t> counts_;
    transport transport_;
};

class transport_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(transport_test);
    CPPUNIT_TEST(messages_are_delivered_in_both_directions);
    CPPUNIT_TEST(peer_with_a_wrong_key_is_rejected);
    CPPUNIT_TEST(message_without_a_connection_is_reported_as_lost);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override {
        folder_ = std::filesystem::temp_directory_path() /
                  ("tallyfold-transport-" + std::to_string(getpid()));
        std::filesystem::create_directories(folder_);
        std::ofstream(folder_ / "right") << "0123456789abcdef-right\n";
        std::ofstream(folder_ / "wrong") << "0123456789abcdef-wrong\n";
    }
    void tearDown() override { std::filesystem::remove_all(folder_); }

  private:
    static constexpr const char* address = "127.0.99.1:17171";
    static protocol::outbound_message message_to(const node_name& node) {
        return {node, protocol::join_request{"x", 1}};
    }
    std::string key(const char* name) const { return (folder_ / name).string(); }

    void messages_are_delivered_in_both_directions() {
        test_endpoint left("left", address, key("right"));
        test_endpoint right("right", "", key("right"));
        right.get_transport().dial("left", address);
        CPPUNIT_ASSERT(right.wait_for("event 1101", 1));
        CPPUNIT_ASSERT(left.wait_for("event 1101", 1));
        right.get_transport().send(message_to("left"));
        CPPUNIT_ASSERT(left.wait_for("message from right", 1));
        left.get_transport().send(message_to("right"));
        CPPUNIT_ASSERT(right.wait_for("message from left", 1));
    }

    void peer_with_a_wrong_key_is_rejected() {
        test_endpoint left("left", address, key("right"));
        test_endpoint right("right", "", key("wrong"));
        right.get_transport().dial("left", address);
        // One of the ends rejects the other's proof and logs an event.
        CPPUNIT_ASSERT(right.wait_for("event 1103", 1) || left.wait_for("event 1103", 1));
        right.get_transport().send(message_to("left"));
        CPPUNIT_ASSERT(right.wait_for("lost left", 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, left.count("message from right"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, left.count("event 1101"));
    }

    void message_without_a_connection_is_reported_as_lost() {
        test_endpoint right("right", "", key("right"));
        right.get_transport().send(message_to("nobody"));
        CPPUNIT_ASSERT(right.wait_for("lost nobody", 1));
    }

    std::filesystem::path folder_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(transport_test);

}  // namespace tallyfold::tests
