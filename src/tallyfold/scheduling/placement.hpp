#pragma once
/// @file
/// Selects the engine for one call, by the class's policy or by a baseline strategy. Pure; shared
/// by the plane and the program API.
///
/// Candidates, in this order; the first of those with the lowest cost is selected:
/// 1. the affinity target of the call's program, assumed to hold the prompt up to its newest part;
/// 2. engines that are known to hold a prefix of the prompt, longest first;
/// 3. a sample of the others.
/// The affinity target precedes the prefix holders because the prefix that all programs share is
/// cached on a few engines that every node knows of: were these first, all programs would start
/// there.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/scheduling/backend_pool.hpp"
#include "tallyfold/scheduling/cache_map.hpp"
#include "tallyfold/scheduling/engine_pace.hpp"
#include "tallyfold/scheduling/policy.hpp"

namespace tallyfold::scheduling {

/// How calls are ordered and placed. All but `policy` are baselines for comparison.
enum class strategy : std::uint8_t { policy, round_robin, least_outstanding, affinity_fcfs };

std::optional<strategy> parse_strategy(std::string_view name);

struct placement_request {
    call_features call;
    std::string model;
    std::string zone;
    const std::vector<prefix_point>* prompt = nullptr;
    token_count prompt_tokens = 0;
    /// Engine that every node derives for the call's program, assumed to hold `affinity_tokens` of
    /// the prompt; empty when there is none.
    backend_name affinity_target;
    token_count affinity_tokens = 0;
    /// Engines considered besides the affinity target and the prefix holders; null for the least
    /// loaded ones. Nodes that see few of each other's calls regard the same engines as idle, so
    /// each node provides its own sample in its own order.
    const std::vector<const backend_state*>* sample = nullptr;
    /// Speed estimates of the engines; null when they aren't learned.
    const engine_pace* pace = nullptr;
};

/// Available engine with the greatest rendezvous weight for a key, such as a program's identifier;
/// empty when none is available.
backend_name affinity_target(const std::string& key, const backend_pool& pool, instant now);

struct placement_choice {
    backend_name engine;
    token_count cached_tokens = 0;
    /// Cost of the choice; 0 for baselines.
    double cost = 0;
    std::size_t candidates = 0;
};

enum class placement_refusal : std::uint8_t {
    /// Engines exist, but none of them is available with a free slot.
    all_busy,
    /// A busy engine has the lowest cost, so the call should wait for it.
    wait_for_cache,
    /// There are no engines.
    none_available,
};

class placement {
  public:
    explicit placement(strategy chosen) : strategy_(chosen) {}

    /// @param ranking the class's policy; null selects the built-in cost
    tl::expected<placement_choice, placement_refusal> choose(const placement_request& request,
                                                             const backend_pool& pool,
                                                             const cache_map& cache,
                                                             policy* ranking, instant now);

  private:
    /// Maximum number of least loaded engines that are considered without a cached prefix.
    static constexpr std::size_t max_sampled_engines = 4;

    struct candidate {
        const backend_state* engine = nullptr;
        token_count cached_tokens = 0;
    };

    /// Available engines that hold a prefix of the prompt, longest first.
    [[nodiscard]] std::vector<candidate> prefix_holders(const placement_request& request,
                                                        const backend_pool& pool,
                                                        const cache_map& cache, instant now) const;
    static void put_affinity_target_first(std::vector<candidate>& options,
                                          const placement_request& request,
                                          const backend_pool& pool, instant now);
    std::vector<candidate> gather_candidates(const placement_request& request,
                                             const backend_pool& pool, const cache_map& cache,
                                             instant now) const;
    const backend_state* next_round_robin(const backend_pool& pool, const std::string& model,
                                          instant now);
    /// Engines that are considered without a cached prefix.
    std::vector<const backend_state*> sampled(const placement_request& request,
                                              const backend_pool& pool, instant now) const;
    static double cost_of(const placement_request& request, const candidate& option,
                          policy* ranking, instant now);

    strategy strategy_;
    backend_name last_round_robin_;
};

}  // namespace tallyfold::scheduling
