/// @file
/// Benchmarks the dispatch of calls to engines: processor time for a request, a release and a
/// renewal, by the number of engines, of waiting calls and of forwarders, and memory for each
/// running call. Prints one line per measurement.

#include <malloc.h>

#include <cstdio>
#include <ctime>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tallyfold/plane/dispatch/dispatcher.hpp"

namespace {

using namespace tallyfold;

constexpr std::size_t tenants = 82;
constexpr std::uint32_t slots = 6;
constexpr std::size_t rounds = 20'000;
/// Time between two calls: 1,300 calls a second.
constexpr duration step = std::chrono::microseconds(770);

std::vector<scheduling::backend_member> make_engines(std::size_t count) {
    std::vector<scheduling::backend_member> engines(count);
    for (std::size_t number = 0; number < count; ++number) {
        engines[number].name = "engine-" + std::to_string(number) + ".zone-a.example.net";
        engines[number].address = "10.0.0.1:" + std::to_string(9'000 + number);
        engines[number].zone = number % 2 == 0 ? "zone-a" : "zone-b";
        engines[number].slots = slots;
        engines[number].listed_only = true;
    }
    return engines;
}

double processor_us() {
    timespec value{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

/// Sums the processor time of the measured parts.
struct stopwatch {
    double total_us = 0;
    std::size_t count = 0;

    template <class Work>
    auto measure(Work&& work) {
        const double began = processor_us();
        auto result = work();
        total_us += processor_us() - began;
        ++count;
        return result;
    }
    [[nodiscard]] double each() const {
        return count > 0 ? total_us / static_cast<double>(count) : 0;
    }
};

struct granted_call {
    node_name node;
    std::uint64_t call = 0;
    backend_name engine;
};

/// Drives a dispatcher as forwarders do.
class load {
  public:
    load(std::size_t engines, std::size_t forwarders) : forwarders_(forwarders) {
        dispatch::dispatcher_settings settings;
        settings.queue.refuses = false;
        target = std::make_unique<dispatch::dispatcher>(settings);
        target->set_engines(make_engines(engines), 46'002);
    }

    void request() {
        const std::uint64_t call = ++calls_;
        dispatch::place_request asked;
        asked.node = "forwarder-" + std::to_string(call % forwarders_);
        asked.process_id = 7;
        asked.call = call;
        asked.service = "engines";
        asked.zone = "zone-a";
        asked.tenant = "tenant-" + std::to_string(call % tenants);
        asked.tenant_weight = 1 + static_cast<double>(call % tenants);
        asked.route = call % 2 == 0 ? "short" : "long";
        asked.program = call % 500 + 1;
        asked.program_running = true;
        asked.time_left_ms = 1'000;
        asked.longest_wait_ms = 600'000;
        asked.prompt_tokens = 1'166;
        asked.max_tokens = 96;
        asked.prompt = {{1, 512}, {asked.program + 1'000, 800}, {asked.program + 10'000, 1'166}};
        waiting_[call] = asked;
        keep(requests.measure([&] { return target->request(asked, now); }));
    }

    /// Repeats the requests of all waiting calls, as forwarders do each 200 ms.
    void repeat() {
        for (const auto& entry : waiting_) {
            repeats.measure([&] { return target->request(entry.second, now); });
        }
    }

    void release() {
        const granted_call call = running.front();
        running.pop_front();
        dispatch::place_release released;
        released.node = call.node;
        released.process_id = 7;
        released.calls.push_back({call.call, "engines", dispatch::release_outcome::answered,
                                  call.engine, 73, 6, 35'000, 40'000});
        keep(releases.measure([&] { return target->release(released, now); }));
    }

    /// Renews all running calls, with the calls of one forwarder in a message.
    void renew() {
        std::map<node_name, dispatch::place_renewal> messages;
        for (const granted_call& call : running) {
            dispatch::place_renewal& message = messages[call.node];
            message.node = call.node;
            message.process_id = 7;
            message.calls.push_back({call.call, "engines", call.engine, 1, 1'262});
        }
        for (const auto& entry : messages) {
            renewals.measure([&] {
                target->renew(entry.second, now);
                return 0;
            });
            renewed += entry.second.calls.size();
        }
    }

    std::unique_ptr<dispatch::dispatcher> target;
    std::deque<granted_call> running;
    instant now{std::chrono::seconds(100)};
    stopwatch requests, repeats, releases, renewals, ticks;
    std::size_t renewed = 0;

  private:
    void keep(const std::vector<dispatch::addressed_answer>& answers) {
        for (const dispatch::addressed_answer& each : answers) {
            if (each.answer.outcome == dispatch::place_outcome::granted) {
                running.push_back({each.node, each.answer.call, each.answer.engine});
                waiting_.erase(each.answer.call);
            }
        }
    }

    std::size_t forwarders_;
    std::uint64_t calls_ = 0;
    std::map<std::uint64_t, dispatch::place_request> waiting_;
};

void measure_decisions(std::size_t engines, std::size_t waiting, std::size_t forwarders) {
    load calls(engines, forwarders);
    // One slot in eight stays free unless calls wait.
    const std::size_t busy = waiting > 0 ? engines * slots : engines * slots * 7 / 8;
    while (calls.running.size() < busy || calls.target->waiting() < waiting) {
        calls.request();
    }
    for (std::size_t round = 0; round < rounds; ++round) {
        if (round == rounds / 10) {
            // The first part has filled the estimates.
            calls.requests = calls.repeats = calls.releases = calls.renewals = calls.ticks = {};
            calls.renewed = 0;
        }
        calls.now += step;
        calls.release();
        calls.request();
        if (round % 26 == 0) {
            calls.ticks.measure([&] { return calls.target->tick(calls.now); });
        }
        if (round % 260 == 0) {
            calls.repeat();
        }
        if (round % 650 == 0) {
            calls.renew();
        }
    }
    std::printf(
        "%zu engines, %zu waiting, %zu forwarders: request %.2f us, repeated request %.2f us, "
        "release %.2f us, renewal %.2f us a message and %.2f us a call, tick %.1f us\n",
        engines, calls.target->waiting(), forwarders, calls.requests.each(), calls.repeats.each(),
        calls.releases.each(), calls.renewals.each(),
        calls.renewals.total_us / static_cast<double>(calls.renewed), calls.ticks.each());
}

/// Heap used for each call that `work` adds.
template <class Work>
double bytes_each(std::size_t count, Work&& work) {
    const auto before = mallinfo2().uordblks;
    for (std::size_t number = 0; number < count; ++number) {
        work(number);
    }
    return static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(count);
}

/// Measures the heap used by calls under way. The map of cached prefixes has a fixed capacity.
void measure_memory() {
    constexpr std::size_t calls = 50'000;
    dispatch::place_ledger ledger;
    ledger.set_engines(make_engines(64), 0);
    const backend_name engine = make_engines(1)[0].name;
    const instant now(std::chrono::seconds(100));
    const double registered = bytes_each(calls, [&](std::size_t call) {
        ledger.start({1, call}, engine, {1'262, 96, 366, 1}, now);
    });
    dispatch::dispatcher_settings settings;
    settings.queue.refuses = false;
    dispatch::dispatcher dispatcher(settings);
    auto engines = make_engines(64);
    for (scheduling::backend_member& each : engines) {
        each.slots = calls / engines.size();
    }
    dispatcher.set_engines(engines, 0);
    dispatch::place_request asked;
    asked.node = "forwarder";
    asked.tenant = "tenant";
    asked.route = "short";
    asked.longest_wait_ms = 1'500;
    asked.prompt_tokens = 1'166;
    const auto ask = [&](std::size_t call) {
        asked.call = call + 1;
        dispatcher.request(asked, now + call * std::chrono::microseconds(20));
    };
    const double granted = bytes_each(calls - calls % 64, ask);
    asked.prompt = {{1, 512}, {2, 800}, {3, 1'166}};
    const double waiting = bytes_each(2'000, [&](std::size_t call) { ask(calls + call); });
    std::printf(
        "memory: %.0f bytes a call in the ledger, %.0f a granted call in the dispatcher, %.0f a "
        "waiting call\n",
        registered, granted, waiting);
}

}  // namespace

int main() {
    for (const std::size_t engines : {48, 64}) {
        for (const std::size_t waiting : {0, 500}) {
            for (const std::size_t forwarders : {71, 710}) {
                measure_decisions(engines, waiting, forwarders);
            }
        }
    }
    measure_memory();
    return 0;
}
