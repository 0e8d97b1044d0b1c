#pragma once
/// @file
/// Replays a drawn load of deployment A (docs/design/engine-dispatch.md), scaled to 8 engines, with
/// the dispatcher or with the former decision: each call is sent at once to the engine given by
/// rendezvous hashing of its program, and an engine queues calls beyond its slots in arrival order.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::tests {

struct replay_load {
    std::uint64_t seed = 1;
    /// Load of all tenants from 6 s to 12 s, relative to the usual one.
    double burst = 1;
    /// Load of tenant `replay_hot_tenant` in the same span.
    double hot = 1;
    /// True: tenants' weights follow their usual load, as rate limits do; false: all are equal.
    bool weighted = true;
};

constexpr int replay_hot_tenant = 0;

enum class replay_end : std::uint8_t {
    under_way,
    in_time,
    late,
    refused_new,
    refused_running,
    /// The caller left after 2 s without an event, or at the call's deadline.
    left,
};

struct replayed_program {
    bool is_long = false;
    int tenant = 0;
    instant arrived{};
    std::vector<double> answers;
    duration objective{};
    replay_end end = replay_end::under_way;
    instant ended{};
    /// For each call, when it was made, until its first event, and expected and real wait of those
    /// that the dispatcher queued.
    struct call {
        instant made{};
        duration first_event{};
        duration expected_wait{};
        duration waited{};
        bool forced = false;
    };
    std::vector<call> calls;
    /// Number of answered calls.
    std::size_t turn = 0;
};

struct replay_result {
    std::vector<replayed_program> programs;
    /// Most calls under way beyond their engine's slots at any time.
    std::size_t most_beyond_slots = 0;
    /// Programs that a predicate holds for.
    template <class Predicate>
    [[nodiscard]] std::size_t count(Predicate&& holds) const {
        std::size_t counted = 0;
        for (const replayed_program& program : programs) {
            counted += holds(program) ? 1 : 0;
        }
        return counted;
    }
    /// First event at the given quantile, of calls made in the span.
    [[nodiscard]] duration first_event(double quantile, instant from, instant until) const;
};

replay_result replay(const replay_load& load, bool dispatched);

}  // namespace tallyfold::tests
