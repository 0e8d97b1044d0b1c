#pragma once
/// @file
/// Calls that run at the engines of one group, with slots, cache tokens and leases, and the choice
/// of the engine for a call. Pure. Uses engine_speed for the engines' pace, cache_map for what they
/// hold, and backend_pool for members and ejections.
///
/// Load pattern: many forwarders send to the same engines, each seeing few of the others' calls.
/// One ledger sees all of them, so that no call queues at a full engine while another has a free
/// slot.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
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

/// A call that needs an engine. Null lists count as empty.
struct placement_question {
    /// Zone of the forwarder.
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

/// Tokens of a call that starts.
struct call_size {
    /// Tokens that the engine holds for the call until it ends: prompt and longest answer.
    std::uint32_t tokens = 0;
    std::uint32_t max_tokens = 0;
    /// Tokens of the prompt that the engine has to prefill.
    std::uint32_t uncached_tokens = 0;
    /// Number that the dispatcher gave the call's route.
    std::uint16_t route = 0;
};

/// End of a call, as far as the ledger learns from it.
struct call_end {
    release_outcome outcome = release_outcome::not_sent;
    std::uint32_t generated_tokens = 0;
    std::uint32_t events = 0;
    duration first_event{};
    duration gap{};
};

/// A call that was registered until now.
struct finished_call {
    call_size size;
    duration took{};
};

/// Numbers of the group, for logs and metrics.
struct group_room {
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
    token_count tokens = 0;
};

class place_ledger {
  public:
    /// @param learns_speed false: all engines count as equally fast (a measurement)
    explicit place_ledger(bool learns_speed = true) : learns_speed_(learns_speed) {}

    /// Replaces the engines of the group. Calls at engines that left stay until they end.
    /// @param cache_tokens capacity of each engine's cache; 0 when unknown, then it never limits
    /// @param referenced positions that the caller still refers to; those of other engines that
    /// have left and run no calls are given to new engines
    void set_engines(const std::vector<scheduling::backend_member>& engines,
                     token_count cache_tokens, const std::set<engine_position>& referenced = {});

    /// Engine with a free slot and the least expected time for the call; nothing when none has
    /// room.
    [[nodiscard]] std::optional<placed_call> choose(const placement_question& question,
                                                    instant now) const;
    /// Engine that holds so much more of the prompt than the others that the call should go there,
    /// even if it is full; nothing when there is none.
    [[nodiscard]] std::optional<placed_call> preferred(const placement_question& question,
                                                       instant now) const;
    /// The given engine, if it has room for the call.
    [[nodiscard]] std::optional<placed_call> choose_at(const backend_name& engine,
                                                       const placement_question& question,
                                                       instant now) const;
    /// Engine for a call that is granted beyond the slots: the fewest calls for its speed; nothing
    /// when no engine is available.
    [[nodiscard]] std::optional<placed_call> choose_beyond_slots(const placement_question& question,
                                                                 instant now) const;
    /// Registers a call at an engine, from a grant or from the renewal of an unknown call. A call
    /// that is registered already is left as it is.
    void start(const call_key& key, const backend_name& engine, const call_size& size, instant now);
    /// Extends the lease. @return false when the call is not registered
    bool renew(const call_key& key, instant now);
    /// Engine of a registered call; empty when there is none.
    [[nodiscard]] backend_name engine_of(const call_key& key) const;
    /// Ends a call, and learns from what was observed. @return nothing when it is not registered
    std::optional<finished_call> finish(const call_key& key, const call_end& ended, instant now);
    /// Ends all calls of a process. @return their number
    std::size_t finish_process(std::uint32_t process);
    /// Records prefixes that an engine holds.
    void record_cached(const backend_name& engine,
                       const std::vector<scheduling::prefix_point>& prompt);
    /// Removes calls whose lease has ended. @return their number
    std::size_t expire(instant now);

    [[nodiscard]] bool has_engine(const backend_name& engine) const {
        return pool_.find(engine) != nullptr;
    }
    /// True when the call may use any engine, with or without a free slot.
    [[nodiscard]] bool has_eligible_engine(const placement_question& question, instant now) const;
    /// Position of an engine, the same until it leaves; no_engine for unknown ones.
    [[nodiscard]] engine_position position_of(const backend_name& engine) const;
    /// By engine position: true when a call that should go to the engine need not wait for it,
    /// because it has a free slot, or because it is gone or ejected and the call may go elsewhere.
    [[nodiscard]] std::vector<bool> ready_engines(instant now) const;
    /// True when so many slots of the group are free that calls may leave the engines that hold
    /// their prompts.
    [[nodiscard]] bool has_spare_slots() const;
    /// Free slots of the group's engines.
    [[nodiscard]] std::uint32_t free_slots() const;
    [[nodiscard]] bool has_engines() const { return !pool_.all().empty(); }
    [[nodiscard]] const group_room& room() const { return room_; }
    [[nodiscard]] std::size_t calls() const { return calls_.size(); }
    [[nodiscard]] std::uint32_t running_at(const backend_name& engine) const;
    [[nodiscard]] const scheduling::engine_speed& speed() const { return speed_; }

  private:
    /// Capacity of the map of cached prefixes; at some hundred bytes each, a few MB.
    static constexpr std::size_t max_cached_prefixes = 20'000;

    struct engine_use {
        backend_name name;
        std::uint32_t running = 0;
        token_count tokens = 0;
        /// When the prefill of the calls that were sent there is expected to end.
        instant prefilled_at{};
    };
    struct registered_call {
        std::uint32_t engine = 0;
        call_size size;
        /// Calls at the engine when this one started, itself included.
        std::uint32_t running = 1;
        instant started_at{};
        instant lease_ends{};
    };
    using call_table = std::unordered_map<call_key, registered_call, call_key_hash>;

    /// An engine of the group: its state in `pool_`, and its position in `engines_`.
    struct group_engine {
        const scheduling::backend_state* state = nullptr;
        std::uint32_t index = 0;
    };

    [[nodiscard]] static std::uint32_t slots_of(const scheduling::backend_state& engine);
    std::uint32_t index_of(const backend_name& engine);
    /// Frees the positions of engines that have left and run no calls.
    void free_positions(const std::set<engine_position>& referenced);
    [[nodiscard]] const engine_use* use_of(const backend_name& engine) const;
    /// True when the engine may get new calls of the question.
    [[nodiscard]] bool is_eligible(const scheduling::backend_state& engine,
                                   const placement_question& question, instant now) const;
    [[nodiscard]] bool has_room(const group_engine& engine,
                                const placement_question& question) const;
    /// Tokens of the prompt that each engine of `engines_` holds.
    [[nodiscard]] std::vector<token_count> cached_tokens_of(
        const placement_question& question) const;
    /// Expected time from the sending of the call to its end, in milliseconds.
    [[nodiscard]] double expected_ms(const group_engine& engine, const placement_question& question,
                                     token_count cached_tokens, instant now) const;
    [[nodiscard]] double token_ms(const backend_name& engine, std::uint32_t running,
                                  instant now) const;
    void learn(const registered_call& call, const call_end& ended, instant now);
    call_table::iterator erase(call_table::iterator call);

    bool learns_speed_;
    scheduling::backend_pool pool_;
    scheduling::engine_speed speed_;
    scheduling::cache_map cache_{max_cached_prefixes};
    token_count cache_tokens_ = 0;
    std::unordered_map<backend_name, std::uint32_t> engine_indexes_;
    /// Use of the engines of the group, and of those that left and still run calls.
    std::vector<engine_use> engines_;
    /// Positions in `engines_` of no engine.
    std::vector<std::uint32_t> free_positions_;
    /// Engines of the group by name; spares the look-ups by name at each decision.
    std::vector<group_engine> group_;
    call_table calls_;
    group_room room_;
    /// Moving average of the share of their longest answer that calls generate.
    double answer_share_ = 0.5;
};

}  // namespace tallyfold::dispatch
