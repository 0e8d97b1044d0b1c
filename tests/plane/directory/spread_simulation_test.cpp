/// @file
/// Simulates the propagation of a change with 2,000 added routes from six directory nodes to 255
/// forwarders, with limited processors and bandwidth. Guards against forwarders that request the
/// same content again before it has arrived, which delays all others.

#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/directory/configuration_fetch.hpp"
#include "tallyfold/plane/messaging/peer_message.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace directory;

namespace {

constexpr std::size_t directory_count = 6;
constexpr std::size_t forwarder_count = 255;
constexpr duration report_interval = std::chrono::milliseconds(120);
constexpr duration one_way_delay = std::chrono::microseconds(1'500);
/// Available share of a processor core; the processing times of a machine are divided by it.
constexpr double directory_share = 0.15;
constexpr double forwarder_share = 0.12;
/// Bandwidth of a forwarder's link in bytes per second: 30 Mbit/s.
constexpr double forwarder_bandwidth = 30e6 / 8;
/// Processing times in seconds on a full core: of an answer, of each byte of it, and of applying a
/// change of this size.
constexpr double answer_cost = 50e-6;
constexpr double byte_cost = 5e-9;
constexpr double apply_cost = 12e-3;

duration seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

configuration_pointer configuration_of(routing::configuration_version version, std::size_t count) {
    random_source random(7);
    routing::configuration made;
    made.version = version;
    for (std::size_t number = 0; number < count; ++number) {
        routing::route route;
        route.name = std::to_string(random.next());
        route.host = std::to_string(random.next()) + ".example";
        route.prefix = "/" + std::to_string(random.next()) + "/";
        made.routes.push_back(std::move(route));
    }
    return std::make_shared<const routing::configuration>(std::move(made));
}

class propagation_simulation {
  public:
    propagation_simulation() : directories_(directory_count), forwarders_(forwarder_count) {
        for (std::size_t number = 0; number < forwarder_count; ++number) {
            forwarders_[number].last_asked = number % directory_count;
            const duration offset = report_interval * number / forwarder_count;
            at(now_ + offset, [this, number] { report(number); });
        }
    }

    /// The directory node holds the configuration from `when` on.
    void publish(std::size_t directory, const configuration_pointer& configuration, instant when) {
        at(when, [this, directory, configuration] {
            directories_[directory].source.publish(configuration);
            directories_[directory].version = configuration->version;
        });
    }
    /// The directory node sends no answers from `when` on.
    void stop(std::size_t directory, instant when) {
        at(when, [this, directory] { directories_[directory].stopped = true; });
    }
    void run_until(instant end) {
        while (!events_.empty() && events_.top().when <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.work();
        }
        now_ = end;
    }

    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] std::size_t bytes_sent() const { return bytes_sent_; }
    [[nodiscard]] std::size_t holder_count(routing::configuration_version version) const {
        std::size_t count = 0;
        for (const forwarder& each : forwarders_) {
            count += each.fetch.version() >= version ? 1 : 0;
        }
        return count;
    }

  private:
    struct event {
        instant when;
        std::uint64_t order;
        std::function<void()> work;
        bool operator<(const event& other) const {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    struct directory_machine {
        configuration_source source;
        routing::configuration_version version = routing::no_version;
        instant busy_until{};
        bool stopped = false;
    };
    struct forwarder {
        configuration_fetch fetch;
        std::size_t last_asked = 0;
        instant link_free{};
        instant busy_until{};
    };

    void at(instant when, std::function<void()> work) {
        events_.push({when, ++order_, std::move(work)});
    }

    static node_name name(std::size_t directory) { return std::to_string(directory); }

    /// Occupies a directory node's processor.
    /// @return the time of completion
    instant work_at(directory_machine& machine, double cost) {
        machine.busy_until = std::max(machine.busy_until, now_) + seconds(cost / directory_share);
        return machine.busy_until;
    }

    void report(std::size_t number) {
        forwarder& asker = forwarders_[number];
        asker.last_asked = (asker.last_asked + 1) % directory_count;
        const std::size_t asked = asker.last_asked;
        at(now_ + one_way_delay, [this, number, asked] { answer_report(number, asked); });
        at(now_ + report_interval, [this, number] { report(number); });
    }

    void answer_report(std::size_t number, std::size_t asked) {
        directory_machine& machine = directories_[asked];
        if (machine.stopped) {
            return;
        }
        const routing::configuration_version version = machine.version;
        at(work_at(machine, answer_cost) + one_way_delay, [this, number, asked, version] {
            request(number, asked,
                    forwarders_[number].fetch.on_version_report(name(asked), version, now_));
        });
    }

    void request(std::size_t number, std::size_t asked,
                 const std::optional<configuration_request>& wanted) {
        if (wanted) {
            at(now_ + one_way_delay,
               [this, number, asked, wanted] { send_part(number, asked, *wanted); });
        }
    }

    void send_part(std::size_t number, std::size_t asked, const configuration_request& wanted) {
        directory_machine& machine = directories_[asked];
        if (machine.stopped) {
            return;
        }
        const configuration_part part = machine.source.answer(wanted);
        const std::size_t bytes = messaging::encode_frame(part).size();
        bytes_sent_ += bytes;
        const auto size = static_cast<double>(bytes);
        const instant made = work_at(machine, answer_cost + byte_cost * size);
        forwarder& taker = forwarders_[number];
        taker.link_free = std::max(taker.link_free, made) + seconds(size / forwarder_bandwidth);
        at(taker.link_free + one_way_delay,
           [this, number, asked, part] { receive_part(number, asked, part); });
    }

    void receive_part(std::size_t number, std::size_t asked, const configuration_part& part) {
        forwarder& taker = forwarders_[number];
        if (now_ < taker.busy_until) {
            at(taker.busy_until,
               [this, number, asked, part] { receive_part(number, asked, part); });
            return;
        }
        const configuration_fetch::progress progress = taker.fetch.receive(name(asked), part, now_);
        if (progress.new_configuration) {
            taker.busy_until = now_ + seconds(apply_cost / forwarder_share);
        }
        request(number, asked, progress.next);
    }

    instant now_{std::chrono::seconds(1)};
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::vector<directory_machine> directories_;
    std::vector<forwarder> forwarders_;
    std::size_t bytes_sent_ = 0;
};

}  // namespace

class spread_simulation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(spread_simulation_test);
    CPPUNIT_TEST(large_change_propagates_within_one_second);
    CPPUNIT_TEST(fetch_continues_after_directory_nodes_stop);
    CPPUNIT_TEST(rapid_changes_propagate_without_growing_lag);
    CPPUNIT_TEST_SUITE_END();

    /// Brings all forwarders to version 1, which has 4,000 routes.
    /// @param sent set to the bytes sent until then
    static void begin(propagation_simulation& world, std::size_t& sent) {
        const configuration_pointer first = configuration_of(1, 4'000);
        for (std::size_t directory = 0; directory < directory_count; ++directory) {
            world.publish(directory, first, world.now());
        }
        world.run_until(world.now() + std::chrono::seconds(10));
        CPPUNIT_ASSERT_EQUAL(forwarder_count, world.holder_count(1));
        sent = world.bytes_sent();
    }

    /// Returns the number of bytes that a forwarder fetches to update from one configuration to the
    /// other.
    static std::size_t bytes_between(const configuration_pointer& one,
                                     const configuration_pointer& other) {
        configuration_source source;
        source.publish(one);
        source.publish(other);
        configuration_request request;
        request.held = one->version;
        return source.answer(request).size;
    }

    void large_change_propagates_within_one_second() {
        propagation_simulation world;
        std::size_t before = 0;
        begin(world, before);
        const configuration_pointer next = configuration_of(2, 6'000);
        for (std::size_t directory = 0; directory < directory_count; ++directory) {
            // Two of the six directory nodes lag by two seconds.
            const duration late = directory < 2 ? std::chrono::seconds(2) : duration::zero();
            world.publish(directory, next, world.now() + late);
        }
        world.run_until(world.now() + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(forwarder_count, world.holder_count(2));
        const std::size_t needed =
            forwarder_count * bytes_between(configuration_of(1, 4'000), next);
        // One copy per forwarder; the margin allows for the headers of the parts.
        CPPUNIT_ASSERT(world.bytes_sent() - before <= needed * 21 / 20);
    }

    void fetch_continues_after_directory_nodes_stop() {
        propagation_simulation world;
        std::size_t before = 0;
        begin(world, before);
        const configuration_pointer next = configuration_of(2, 6'000);
        for (std::size_t directory = 0; directory < directory_count; ++directory) {
            world.publish(directory, next, world.now());
        }
        // At this time, most forwarders have received a part of the change.
        const instant silent = world.now() + std::chrono::milliseconds(150);
        world.stop(0, silent);
        world.stop(1, silent);
        world.run_until(world.now() + std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(forwarder_count, world.holder_count(2));
    }

    void rapid_changes_propagate_without_growing_lag() {
        propagation_simulation world;
        std::size_t before = 0;
        begin(world, before);
        constexpr routing::configuration_version last = 20;
        for (routing::configuration_version version = 2; version <= last; ++version) {
            const configuration_pointer next = configuration_of(version, 4'000 + version * 50);
            for (std::size_t directory = 0; directory < directory_count; ++directory) {
                world.publish(directory, next, world.now());
            }
            world.run_until(world.now() + std::chrono::milliseconds(200));
            // No forwarder lags by more than a second, although a fetch takes longer than the
            // interval between changes.
            if (version > 6) {
                CPPUNIT_ASSERT_EQUAL(forwarder_count, world.holder_count(version - 5));
            }
        }
        world.run_until(world.now() + std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(forwarder_count, world.holder_count(last));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(spread_simulation_test);

}  // namespace tallyfold::tests
