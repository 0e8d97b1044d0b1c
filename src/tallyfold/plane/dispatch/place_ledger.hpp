#pragma once
/// @file
/// Calls that run at the engines of one group, with slots, cache tokens and leases, and the choice
/// of the engine for a call. Pure.
///
/// Load pattern: many forwarders send to the same engines, each seeing few of the others' calls.
/// One ledger sees all of them, so that no call queues at a full engine while another has a free
/// slot.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/dispatch/wait_queue.hpp"
#include "tallyfold/scheduling/backend_pool.hpp"
#include "tallyfold/scheduling/cache_map.hpp"
#include "tallyfold/scheduling/engine_speed.hpp"

namespace tallyfold::dispatch {

/// Time after which a grant ends unless it is renewed: several renewal intervals, and short against
/// the seconds for which a dead forwarder would otherwise hold slots.
constexpr duration lease_time = std::chrono::milliseconds(2'000);

/// What the choice of an engine depends on, besides the engines.
struct placement_question {
    std::string zone;
    token_count prompt_tokens = 0;
    token_count max_tokens = 0;
    const std::vector<scheduling::prefix_point>* prompt = nullptr;
    const std::vector<scheduling::cached_prefix>* holders = nullptr;
    const std::vector<backend_name>* excluded = nullptr;
    const std::vector<backend_name>* connected = nullptr;
};

struct placed_call {
    backend_name engine;
    token_count cached_tokens = 0;
};

/// Numbers of the group, for logs and metrics.
struct group_room {
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    token_count tokens = 0;
    token_count token_capacity = 0;
};

class place_ledger {
  public:
    /// Replaces the engines of the group. Calls at engines that left stay until they end.
    /// @param cache_tokens capacity of each engine's cache; 0 when unknown, then it never limits
    void set_engines(const std::vector<scheduling::backend_member>& engines,
                     token_count cache_tokens);

    /// Engine with a free slot and the least expected time for the call; nothing when none has
    /// room.
    [[nodiscard]] std::optional<placed_call> choose(const placement_question& question,
                                                    instant now) const;
    /// Engine for a call that is granted beyond the slots: the fewest calls for its speed.
    [[nodiscard]] std::optional<placed_call> choose_beyond_slots(const placement_question& question,
                                                                 instant now) const;
    /// Registers a call at an engine, from a grant or from a renewal of an unknown call.
    void start(const call_key& key, const backend_name& engine, token_count tokens,
               token_count uncached_tokens, std::uint64_t program, instant now);
    /// Extends the lease. @return false when the call is not registered
    bool renew(const call_key& key, instant now);
    /// Engine of a registered call; empty when there is none.
    [[nodiscard]] backend_name engine_of(const call_key& key) const;
    /// Ends a call, and learns from what was observed.
    /// @return false when the call is not registered
    bool finish(const call_key& key, const released_call& ended, instant now);
    /// Records prefixes that an engine holds after a call.
    void record_cached(const backend_name& engine,
                       const std::vector<scheduling::prefix_point>& prompt);
    /// Removes calls whose lease has ended. @return their number
    std::size_t expire(instant now);

    [[nodiscard]] bool has_engine(const backend_name& engine) const;
    [[nodiscard]] bool has_free_slot() const;
    [[nodiscard]] group_room room() const;
    [[nodiscard]] std::uint32_t running_at(const backend_name& engine) const;
};

}  // namespace tallyfold::dispatch
