/// @file
/// Measures what a change of the list of back ends costs a node, and what a call costs, by the size
/// of the list. Two thirds of the back ends are engines; ten of them change in each round.

#include <chrono>
#include <cstdio>
#include <functional>

#include "tallyfold/base/common/steady_clock.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/plane/discovery/backend_list.hpp"
#include "tallyfold/plane/forwarding/backend_registry.hpp"

namespace {

using namespace tallyfold;

constexpr std::size_t rounds = 20;
constexpr std::size_t calls = 200;
constexpr std::size_t changed_per_round = 10;
constexpr std::size_t max_journal_entries = 4'096;

discovery::polled_list make_list(std::size_t count) {
    discovery::polled_list polled;
    for (std::size_t number = 0; number < count; ++number) {
        discovery::listed_backend made;
        made.service = number % 3 == 0 ? "app" : "engine";
        made.member.name = "i-" + std::to_string(number);
        made.member.address =
            "10.0." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":80";
        made.member.zone = "zone-" + std::to_string(number % 6);
        made.member.listed_only = true;
        polled.backends.push_back(std::move(made));
    }
    return polled;
}

/// Mean time of `count` runs of `work` in milliseconds.
double mean_ms(std::size_t count, const std::function<void(std::size_t)>& work) {
    double total = 0;
    for (std::size_t number = 0; number < count; ++number) {
        const auto began = std::chrono::steady_clock::now();
        work(number);
        const std::chrono::duration<double, std::milli> taken =
            std::chrono::steady_clock::now() - began;
        total += taken.count();
    }
    return total / static_cast<double>(count);
}

/// Mean time to choose a back end.
double choose_ms(forwarding::backend_registry& registry, forwarding::selection_request question,
                 std::string forwarding::selection_request::*key) {
    const instant now = steady_now();
    return mean_ms(calls, [&](std::size_t number) {
        if (key != nullptr) {
            question.*key = "key-" + std::to_string(number);
        }
        registry.choose(question, now);
    });
}

void measure(std::size_t count) {
    discovery::polled_list polled = make_list(count);
    discovery::backend_list directory(max_journal_entries);
    discovery::backend_list node;
    forwarding::backend_registry registry("zone-0", 1);
    const instant now = steady_now();
    directory.record_poll(polled, now);
    registry.apply(node.apply(directory.content_since(0), now).value(), now);
    std::vector<discovery::list_content> contents;
    const double poll = mean_ms(rounds, [&](std::size_t round) {
        for (std::size_t number = 0; number < changed_per_round; ++number) {
            auto& member = polled.backends[(round * 37 + number * 11) % count].member;
            member.leaving = !member.leaving;
        }
        const discovery::list_fingerprint before = directory.fingerprint();
        directory.record_poll(polled, now);
        contents.push_back(directory.content_since(before));
    });
    std::vector<discovery::list_changes> changes(rounds);
    const double difference = mean_ms(rounds, [&](std::size_t round) {
        changes[round] = node.apply(contents[round], now).value();
    });
    const double update =
        mean_ms(rounds, [&](std::size_t round) { registry.apply(changes[round], now); });
    forwarding::selection_request question;
    question.service = "engine";
    question.is_engine = true;
    const double engine = choose_ms(registry, question, &forwarding::selection_request::program);
    question.service = "app";
    question.is_engine = false;
    question.repeatable = true;
    const double plain = choose_ms(registry, question, nullptr);
    const double object = choose_ms(registry, question, &forwarding::selection_request::object);
    std::printf(
        "%zu poll_ms=%.3f difference_ms=%.4f registry_ms=%.4f engine_ms=%.4f "
        "plain_ms=%.4f object_ms=%.4f\n",
        count, poll, difference, update, engine, plain, object);
}

}  // namespace

int main() {
    for (const std::size_t count : {300U, 1'000U, 3'000U, 10'000U, 20'000U}) {
        measure(count);
    }
    return 0;
}
