#pragma once
/// @file
/// A directory node for tests that shares crashes between forwarders and does nothing else, and two
/// forwarders beside it with the same back ends.

#include <memory>
#include <string>

#include "tallyfold/plane/directory/crash_sharing_shell.hpp"
#include "tallyfold/plane/messaging/peer_link_shell.hpp"
#include "tests/plane/forwarding/forwarder_world.hpp"

namespace tallyfold::tests {

class crash_directory {
  public:
    crash_directory(asio::io_context& loop, const std::string& address)
        : metrics_(registry_), server_(loop, address), sharing_(metrics_) {
        const std::string problem = server_.start([this](const messaging::channel_pointer& channel,
                                                         const messaging::peer_message& message) {
            const instant now = http::steady_now();
            if (const auto* report = std::get_if<directory::node_report>(&message)) {
                if (report->wants_list) {
                    sharing_.add_listener(channel, now);
                }
            } else if (const auto* crash = std::get_if<poison::crash_report>(&message)) {
                ++reports;
                if (answers) {
                    sharing_.receive(channel, *crash, now);
                }
            }
        });
        CPPUNIT_ASSERT_EQUAL(std::string{}, problem);
    }

    int reports = 0;
    bool answers = true;

  private:
    prometheus::Registry registry_;
    directory::directory_metrics metrics_;
    messaging::peer_server server_;
    directory::crash_sharing sharing_;
};

/// Two forwarders with the same back ends.
class forwarder_pair {
  public:
    static constexpr std::uint16_t first_port = 17'181;
    static constexpr std::uint16_t directory_port = 17'190;

    forwarder_pair()
        : first(forwarder_settings(), first_port),
          second(forwarder_settings(), first_port + 1),
          directory_address(forwarder_world::own_address().to_string() + ":" +
                            std::to_string(directory_port)) {
        for (forwarder_world* world : {&first, &second}) {
            world->apply_configuration();
        }
    }

    counting_backend& add_backend(backend_behavior behavior) {
        counting_backend& added = first.add_backend(behavior);
        second.list_backends_of(first);
        return added;
    }
    void start_directory() { directory.emplace(first.process.loop(), directory_address); }
    /// Connects a forwarder to the directory node.
    void join(forwarder_world& world, discovery::backend_list& list) {
        world.directory.share_list(list, [](const discovery::list_changes&) {});
        world.directory.start([](const directory::configuration_pointer&) {},
                              [](const turns::store_table&) {}, {});
        world.crashes.start();
        world.directory.add_seeds({directory_address});
        CPPUNIT_ASSERT(run_until([&] {
            return world.directory.supports(directory_address, protocol::format_version::v6);
        }));
        // A report of each interval makes the node known to the directory node.
        const instant joined = http::steady_now();
        run_until([&] { return http::steady_now() > joined + std::chrono::milliseconds(300); });
    }
    void join_both() {
        join(first, first_list_);
        join(second, second_list_);
    }
    void join_second() { join(second, second_list_); }
    void join_first() { join(first, first_list_); }

    bool run_until(const std::function<bool()>& reached,
                   duration limit = std::chrono::seconds(10)) {
        const instant end = http::steady_now() + limit;
        while (!reached() && http::steady_now() < end) {
            for (forwarder_world* world : {&first, &second}) {
                world->process.loop().restart();
                world->process.loop().run_one_for(std::chrono::milliseconds(1));
                world->process.loop().poll();
            }
        }
        return reached();
    }

    /// Sends a request and waits for its end. @return what the caller received
    std::string send(forwarder_world& world, const std::string& route, const std::string& id) {
        const auto caller = world.connect();
        caller->send(forwarder_world::request(route, id));
        CPPUNIT_ASSERT(run_until([&] {
            return !caller->received().empty() && world.callers.active_request_count() == 0;
        }));
        return caller->received();
    }

    forwarder_world first;
    forwarder_world second;
    std::string directory_address;
    std::optional<crash_directory> directory;

  private:
    discovery::backend_list first_list_;
    discovery::backend_list second_list_;
};

}  // namespace tallyfold::tests
