/// @file
/// Guards against a leader that parses a large configuration on the loop thread: its heartbeats
/// stop, and its followers elect another leader, to which the operator then sends the same text.

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <atomic>
#include <future>

#include "tallyfold/plane/directory/admin_api_shell.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

/// A codec whose parse() waits until another task has run on the loop thread.
class slow_codec final : public admin_codec {
  public:
    explicit slow_codec(std::future<void> other_task) : other_task_(std::move(other_task)) {}

    [[nodiscard]] bool changes_configuration(const http::endpoint_request&) const override {
        return true;
    }
    [[nodiscard]] operator_call parse(const http::endpoint_request&) const override {
        constexpr std::chrono::seconds longest(3);
        other_task_ran = other_task_.wait_for(longest) == std::future_status::ready;
        replace_call call;
        call.parsed.version = 1;
        return call;
    }
    [[nodiscard]] http::endpoint_response accepted() const override { return answer(200); }
    [[nodiscard]] http::endpoint_response refused(unsigned status,
                                                  const std::string&) const override {
        return answer(status);
    }
    [[nodiscard]] http::endpoint_response redirect(const std::string&,
                                                   const std::string&) const override {
        return answer(307);
    }
    [[nodiscard]] http::endpoint_response configuration(const std::string&) const override {
        return answer(200);
    }
    [[nodiscard]] http::endpoint_response retirement(retire_progress) const override {
        return answer(200);
    }

    mutable std::atomic<bool> other_task_ran{false};

  private:
    static http::endpoint_response answer(unsigned status) {
        http::endpoint_response made;
        made.status = status;
        return made;
    }

    std::future<void> other_task_;
};

class admin_api_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admin_api_test);
    CPPUNIT_TEST(large_text_is_parsed_off_the_loop_thread);
    CPPUNIT_TEST_SUITE_END();

    static std::unique_ptr<directory_core> leader() {
        directory_settings settings;
        settings.address = "10.0.0.1:71";
        settings.seeds = {settings.address};
        settings.first_start = true;
        settings.members.min_voters = 1;
        instant now = http::steady_now();
        auto core = std::make_unique<directory_core>(settings, first_identity(settings.address),
                                                     consensus::recovered_state{}, now);
        while (!core->leads()) {
            now += std::chrono::milliseconds(20);
            core->tick(now);
        }
        return core;
    }

    void large_text_is_parsed_off_the_loop_thread() {
        net::node_process process{settings::node_settings{}};
        std::promise<void> other_task;
        const slow_codec codec(other_task.get_future());
        const std::unique_ptr<directory_core> core = leader();
        admin_api* admin_pointer = nullptr;
        admin_api admin(process, codec, core, [&] {
            for (directory_work work = core->take_work(); !work.empty(); work = core->take_work()) {
                if (work.write.has_value()) {
                    core->persisted();
                }
                for (const directory_answer& answer : work.answers) {
                    admin_pointer->on_answer(answer);
                }
            }
        });
        admin_pointer = &admin;
        unsigned status = 0;
        const auto call = [&]() -> asio::awaitable<void> {
            http::endpoint_request request;
            request.body = std::string(2'000'000, ' ');
            const http::endpoint_response response = co_await admin.serve(std::move(request));
            status = response.status;
        };
        asio::co_spawn(process.loop(), call, asio::detached);
        process.run_after(std::chrono::milliseconds(1), [&] { other_task.set_value(); });
        process.loop().run();
        CPPUNIT_ASSERT(codec.other_task_ran);
        CPPUNIT_ASSERT_EQUAL(200U, status);
        CPPUNIT_ASSERT_EQUAL(routing::configuration_version{1},
                             core->state().configuration().version);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admin_api_test);

}  // namespace tallyfold::tests
