/// @file
/// Simulates the list of back ends on its way from nine directory nodes to all nodes of a fleet, in
/// virtual time, with limited processors and bandwidth. Guards against directory nodes that send
/// the full list to the same node several times, or encode it for each node, after a start of all
/// nodes: they ran out of memory.

#include <algorithm>
#include <functional>
#include <queue>
#include <vector>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/plane/discovery/list_fetch.hpp"
#include "tallyfold/plane/discovery/list_source.hpp"
#include "tests/support/suite.hpp"

namespace tallyfold::tests {

using namespace discovery;

namespace {

constexpr std::size_t directory_count = 9;
constexpr duration report_interval = std::chrono::milliseconds(120);
constexpr duration one_way_delay = std::chrono::microseconds(1'500);
/// Time for which a message occupies a directory node's share of a core.
constexpr duration message_time = std::chrono::microseconds(150);
/// Bandwidth of a node's link in bytes per second: 30 Mbit/s.
constexpr double node_bandwidth = 30e6 / 8;
constexpr std::size_t journal_entries = 4'096;

polled_list list_of(std::size_t count) {
    polled_list polled;
    polled.pages = count / 200 + 1;
    for (std::size_t number = 0; number < count; ++number) {
        listed_backend made;
        made.service = number % 3 == 0 ? "app" : "engine";
        made.member.name = "i-" + std::to_string(number * 7'919 % 1'000'003);
        made.member.address =
            "10.128." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8080";
        made.member.zone = "zone-" + std::to_string(number % 6);
        polled.backends.push_back(std::move(made));
    }
    return polled;
}

class transfer_simulation {
  public:
    explicit transfer_simulation(std::size_t node_count)
        : directories_(directory_count), nodes_(node_count) {
        for (std::size_t number = 0; number < node_count; ++number) {
            nodes_[number].last_asked = number % directory_count;
            const duration offset = report_interval * number / node_count;
            schedule(offset, [this, number] { report(number); });
        }
    }

    void poll(const polled_list& polled) {
        for (directory_node& directory : directories_) {
            CPPUNIT_ASSERT(directory.list.record_poll(polled, now_).has_value());
        }
    }
    /// Runs until all nodes hold the directory nodes' list. @return false after the limit
    bool run_until_all_hold(duration limit) {
        const instant end = now_ + limit;
        while (now_ < end && nodes_behind() > 0) {
            run(std::chrono::milliseconds(50));
        }
        return nodes_behind() == 0;
    }
    void lose_power() {
        for (node& each : nodes_) {
            each.restart();
        }
        for (directory_node& directory : directories_) {
            directory.restart();
        }
    }
    void reset_counts() {
        max_queued_bytes_ = 0;
        for (node& each : nodes_) {
            each.received_bytes = 0;
        }
        for (directory_node& directory : directories_) {
            directory.encoded_before = directory.source->encoded_count();
        }
    }

    [[nodiscard]] std::size_t max_received_bytes() const {
        std::size_t most = 0;
        for (const node& each : nodes_) {
            most = std::max(most, each.received_bytes);
        }
        return most;
    }
    /// Most bytes of parts that were queued at one directory node.
    [[nodiscard]] std::size_t max_queued_bytes() const { return max_queued_bytes_; }
    /// Most contents that one directory node has encoded.
    [[nodiscard]] std::uint64_t max_encoded() const {
        std::uint64_t most = 0;
        for (const directory_node& each : directories_) {
            most = std::max(most, each.source->encoded_count() - each.encoded_before);
        }
        return most;
    }

  private:
    struct directory_node {
        directory_node() { restart(); }
        void restart() {
            list = backend_list(journal_entries);
            source = std::make_unique<list_source>();
            queued_bytes = 0;
            encoded_before = 0;
        }
        backend_list list;
        std::unique_ptr<list_source> source;
        instant busy_until{};
        std::size_t queued_bytes = 0;
        std::uint64_t encoded_before = 0;
    };
    struct node {
        node() { restart(); }
        void restart() {
            list = std::make_unique<backend_list>();
            fetch = std::make_unique<list_fetch>(*list);
            ++life;
        }
        std::unique_ptr<backend_list> list;
        std::unique_ptr<list_fetch> fetch;
        std::size_t last_asked = 0;
        instant link_busy_until{};
        std::size_t received_bytes = 0;
        std::uint64_t life = 0;
    };
    struct event {
        instant at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator>(const event& other) const {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    void schedule_at(instant at, std::function<void()> run) {
        events_.push({at, ++event_count_, std::move(run)});
    }
    void schedule(duration delay, std::function<void()> run) {
        schedule_at(now_ + delay, std::move(run));
    }
    void run(duration time) {
        const instant end = now_ + time;
        while (!events_.empty() && events_.top().at <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        now_ = end;
    }
    [[nodiscard]] std::size_t nodes_behind() const {
        const list_fingerprint newest = directories_.front().list.fingerprint();
        return static_cast<std::size_t>(std::count_if(
            nodes_.begin(), nodes_.end(),
            [newest](const node& each) { return each.list->fingerprint() != newest; }));
    }

    static node_name name_of(std::size_t directory) { return std::to_string(directory); }

    /// Runs `work` at the directory node once it has handled its earlier messages.
    void at_directory(std::size_t directory, std::function<void()> work) {
        schedule(one_way_delay, [this, directory, work = std::move(work)] {
            directory_node& at = directories_[directory];
            at.busy_until = std::max(now_, at.busy_until) + message_time;
            schedule_at(at.busy_until, work);
        });
    }
    void report(std::size_t number) {
        schedule(report_interval, [this, number] { report(number); });
        node& each = nodes_[number];
        each.last_asked = (each.last_asked + 1) % directory_count;
        const std::size_t directory = each.last_asked;
        at_directory(directory, [this, directory, number] { send_status(directory, number); });
    }
    void send_status(std::size_t directory, std::size_t number) {
        const backend_list& list = directories_[directory].list;
        list_status status;
        status.list = list.fingerprint();
        status.age_ms = static_cast<std::uint32_t>(to_milliseconds(now_ - list.last_polled_at()));
        schedule(one_way_delay, [this, directory, number, status] {
            send_request(directory, number,
                         nodes_[number].fetch->on_status(name_of(directory), status, now_));
        });
    }
    void send_request(std::size_t directory, std::size_t number,
                      const std::optional<list_request>& request) {
        if (!request) {
            return;
        }
        at_directory(directory, [this, directory, number, asked = *request] {
            directory_node& at = directories_[directory];
            send_part(directory, number, at.source->answer(asked, at.list, now_));
        });
    }
    void send_part(std::size_t directory, std::size_t number, const list_part& part) {
        node& to = nodes_[number];
        const std::size_t size = part.bytes.size();
        const auto transfer = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(static_cast<double>(size) / node_bandwidth));
        directories_[directory].queued_bytes += size;
        max_queued_bytes_ = std::max(max_queued_bytes_, directories_[directory].queued_bytes);
        to.link_busy_until = std::max(now_, to.link_busy_until) + transfer;
        schedule_at(to.link_busy_until + one_way_delay,
                    [this, directory, number, part, life = to.life] {
                        receive_part(directory, number, part, life);
                    });
    }
    void receive_part(std::size_t directory, std::size_t number, const list_part& part,
                      std::uint64_t life) {
        node& to = nodes_[number];
        if (to.life != life) {
            return;
        }
        directories_[directory].queued_bytes -= part.bytes.size();
        to.received_bytes += part.bytes.size();
        send_request(directory, number, to.fetch->receive(name_of(directory), part, now_).next);
    }

    instant now_{std::chrono::seconds(10)};
    std::vector<directory_node> directories_;
    std::vector<node> nodes_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t event_count_ = 0;
    std::size_t max_queued_bytes_ = 0;
};

}  // namespace

class list_transfer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(list_transfer_test);
    CPPUNIT_TEST(start_of_all_nodes_sends_the_list_once);
    CPPUNIT_TEST(full_list_is_encoded_once_while_it_changes);
    CPPUNIT_TEST(list_of_another_poller_is_replaced_by_one_transfer);
    CPPUNIT_TEST(change_is_sent_as_a_difference);
    CPPUNIT_TEST(unusable_content_is_requested_in_full);
    CPPUNIT_TEST(status_of_older_list_is_ignored);
    CPPUNIT_TEST_SUITE_END();

    static constexpr duration start_limit = std::chrono::seconds(4);
    /// Limit of the bytes queued at a directory node, far below its memory.
    static constexpr std::size_t max_queued_bytes = 16U << 20U;

    static std::size_t full_content_size(const polled_list& polled) {
        backend_list list(journal_entries);
        list.record_poll(polled, {});
        list_source source;
        return source.answer({}, list, {}).size;
    }

    static void check_start(transfer_simulation& simulation, const polled_list& polled) {
        simulation.reset_counts();
        simulation.poll(polled);
        CPPUNIT_ASSERT(simulation.run_until_all_hold(start_limit));
        const std::size_t size = full_content_size(polled);
        CPPUNIT_ASSERT(simulation.max_received_bytes() <= size);
        CPPUNIT_ASSERT(simulation.max_queued_bytes() <= max_queued_bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, simulation.max_encoded());
    }

    void start_of_all_nodes_sends_the_list_once() {
        const std::vector<std::pair<std::size_t, std::size_t>> nodes_and_back_ends{{1'000, 500},
                                                                                   {100, 10'000}};
        for (const auto& [nodes, back_ends] : nodes_and_back_ends) {
            transfer_simulation simulation(nodes);
            check_start(simulation, list_of(back_ends));
            simulation.lose_power();
            check_start(simulation, list_of(back_ends));
        }
    }

    /// Transfers what the status asks for. @return number of contents that were transferred
    static int transfer(list_fetch& fetch, list_source& source, const backend_list& list,
                        instant now) {
        list_status status;
        status.list = list.fingerprint();
        auto next = fetch.on_status("d", status, now);
        const int started = next ? 1 : 0;
        while (next) {
            next = fetch.receive("d", source.answer(*next, list, now), now).next;
        }
        return started;
    }

    void full_list_is_encoded_once_while_it_changes() {
        backend_list list(journal_entries);
        list_source source;
        polled_list polled = list_of(2'000);
        for (std::size_t round = 0; round < 20; ++round) {
            polled.backends[round].member.leaving = true;
            const instant now(std::chrono::seconds(1 + round));
            list.record_poll(polled, now);
            backend_list node;
            list_fetch fetch(node);
            // One whole list, then the difference to the newest.
            transfer(fetch, source, list, now);
            transfer(fetch, source, list, now);
            CPPUNIT_ASSERT(node.fingerprint() == list.fingerprint());
        }
        // Each round encodes one difference at most, besides the one whole list.
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, source.encoded_count());
    }

    void list_of_another_poller_is_replaced_by_one_transfer() {
        const auto at = [](int seconds) { return instant(std::chrono::seconds(seconds)); };
        polled_list polled = list_of(1'000);
        backend_list list(journal_entries);
        list_source source;
        list.record_poll(polled, at(1));
        backend_list empty;
        list_fetch empty_fetch(empty);
        transfer(empty_fetch, source, list, at(1));
        // Later than the full list that the source has encoded, earlier than the newest.
        backend_list own;
        own.record_poll(list_of(900), at(2));
        list_fetch fetch(own);
        polled.backends.front().member.leaving = true;
        list.record_poll(polled, at(3));
        CPPUNIT_ASSERT_EQUAL(1, transfer(fetch, source, list, at(4)));
        CPPUNIT_ASSERT(own.fingerprint() == list.fingerprint());
        CPPUNIT_ASSERT_EQUAL(0, transfer(fetch, source, list, at(5)));
    }

    void change_is_sent_as_a_difference() {
        transfer_simulation simulation(200);
        polled_list polled = list_of(2'000);
        simulation.poll(polled);
        CPPUNIT_ASSERT(simulation.run_until_all_hold(start_limit));
        simulation.reset_counts();
        constexpr std::size_t changed = 10;
        for (std::size_t number = 0; number < changed; ++number) {
            polled.backends[number * 31].member.leaving = true;
        }
        simulation.poll(polled);
        constexpr duration change_limit = std::chrono::milliseconds(300);
        CPPUNIT_ASSERT(simulation.run_until_all_hold(change_limit));
        constexpr std::size_t max_entry_bytes = 128;
        CPPUNIT_ASSERT(simulation.max_received_bytes() <= changed * max_entry_bytes);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, simulation.max_encoded());
    }

    void unusable_content_is_requested_in_full() {
        backend_list list;
        list.record_poll(list_of(5), {});
        list_fetch fetch(list);
        list_status status;
        status.list = 77;
        const instant now(std::chrono::seconds(5));
        CPPUNIT_ASSERT(fetch.on_status("d", status, now)->held == list.fingerprint());
        list_part part;
        part.content = 9;
        part.size = 4;
        part.bytes = "junk";
        CPPUNIT_ASSERT(!fetch.receive("d", part, now).problem.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, list.size());
        CPPUNIT_ASSERT_EQUAL(list_fingerprint{0}, fetch.on_status("d", status, now)->held);
    }

    void status_of_older_list_is_ignored() {
        backend_list list;
        const instant now(std::chrono::seconds(5));
        list.record_poll(list_of(5), now);
        list_fetch fetch(list);
        list_status status;
        status.list = 77;
        status.age_ms = 1'000;
        CPPUNIT_ASSERT(!fetch.on_status("d", status, now).has_value());
        status.age_ms = 0;
        CPPUNIT_ASSERT(
            fetch.on_status("d", status, now + std::chrono::milliseconds(1)).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(list_transfer_test);

}  // namespace tallyfold::tests
