#pragma once
/// @file
/// Dispatches the calls to one engine group: grants places, queues calls, refuses them, ends
/// leases. Pure state machine: messages and the time in, answers out. Joins place_ledger,
/// wait_queue, program_needs and engine_speed. directory/dispatch_service runs one for each group
/// that forwarders ask for.

#include <cstdint>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/dispatch/place_ledger.hpp"
#include "tallyfold/plane/dispatch/program_needs.hpp"
#include "tallyfold/plane/dispatch/wait_queue.hpp"

namespace tallyfold::dispatch {

/// An answer and the call that it is for.
struct addressed_answer {
    call_key to;
    place_answer answer;
};

/// Why a message was ignored.
enum class message_fault : std::uint8_t {
    none,
    /// From a process of the node that has been replaced.
    earlier_process,
    /// Values out of any valid range.
    absurd_value,
};

/// Counters since the last call of take_counters().
struct dispatch_counters {
    std::uint64_t granted = 0;
    std::uint64_t waited = 0;
    std::uint64_t refused = 0;
    std::uint64_t forced = 0;
    std::uint64_t expired = 0;
    std::uint64_t ignored = 0;
};

class dispatcher {
  public:
    dispatcher(queue_settings settings, std::uint64_t seed);

    void set_engines(const std::vector<scheduling::backend_member>& engines,
                     token_count cache_tokens);
    /// Handles a request. @return the answer to it, and grants for other calls
    std::vector<addressed_answer> request(const place_request& request, instant now);
    /// Handles releases. @return grants for waiting calls
    std::vector<addressed_answer> release(const place_release& release, instant now);
    /// Handles renewals.
    void renew(const place_renewal& renewal, instant now);
    /// Ends leases and waits; to be called each 20 ms. @return grants for waiting calls
    std::vector<addressed_answer> tick(instant now);

    [[nodiscard]] message_fault last_fault() const;
    [[nodiscard]] group_room room() const;
    [[nodiscard]] std::size_t waiting() const;
    [[nodiscard]] duration longest_wait(instant now) const;
    dispatch_counters take_counters();
    /// True when no call runs or waits and no message came for a minute: the dispatcher may be
    /// dropped.
    [[nodiscard]] bool idle(instant now) const;
};

}  // namespace tallyfold::dispatch
