#pragma once
/// @file
/// Chooses the engine for one call, by the class's policy or by a baseline strategy. Pure; both
/// halves of the product use it.
///
/// Candidates, in this order, of which the first of those with the least cost is taken:
/// 1. the affinity target of the call's program, taken to hold the prompt up to its newest part;
/// 2. engines that are known to hold a prefix of the prompt, longest first;
/// 3. a sample of the others.
/// The target stands before the holders, since what all programs begin with lies on a few engines
/// that every node is told of: were these first, all programs would begin there (busiest engine
/// over the mean 1.87, 1.65, 1.48, 1.86 -> 1.48, 1.56, 1.26, 1.19 on small twins of
/// huayin-preview-large; docs/incidents has the account).

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tallyfold/scheduling/backend_pool.hpp"
#include "tallyfold/scheduling/cache_map.hpp"
#include "tallyfold/scheduling/engine_pace.hpp"
#include "tallyfold/scheduling/policy.hpp"

namespace tallyfold::scheduling {

/// How calls are ordered and placed. All but `policy` are baselines for measurements.
enum class strategy : std::uint8_t { policy, round_robin, least_outstanding, affinity_fcfs };

std::optional<strategy> parse_strategy(std::string_view name);

struct placement_request {
    call_features call;
    std::string model;
    std::string zone;
    const std::vector<prefix_point>* prompt = nullptr;
    token_count prompt_tokens = 0;
    /// Engine that every node derives for the call's program; empty when there is none. It is taken
    /// to hold `affinity_tokens` of the prompt.
    backend_name affinity_target;
    token_count affinity_tokens = 0;
    /// Engines that are weighed beside the affinity target and those that hold the prompt; null for
    /// the least loaded ones. Nodes that see little of each other's calls find the same engines
    /// idle, so each has to bring an order of its own.
    const std::vector<const backend_state*>* sample = nullptr;
    /// How quickly the engines work; null when it isn't learned.
    const engine_pace* pace = nullptr;
};

/// The available engine with the greatest rendezvous weight for a key, a program's identifier.
/// Empty when none is available.
backend_name affinity_target(const std::string& key, const backend_pool& pool, instant now);

struct placement_choice {
    backend_name engine;
    token_count cached_tokens = 0;
    /// Cost that the policy gave it; 0 for baselines.
    double cost = 0;
    std::size_t candidates = 0;
};

enum class placement_refusal : std::uint8_t {
    /// Engines exist, but each has all its slots taken.
    all_busy,
    /// A busy engine holds the prompt and is worth waiting for.
    wait_for_cache,
    /// No engine can run the call at all.
    none_available,
};

class placement {
  public:
    explicit placement(strategy chosen) : strategy_(chosen) {}

    /// @param ranking the class's policy; null uses the built-in cost
    tl::expected<placement_choice, placement_refusal> choose(const placement_request& request,
                                                             const backend_pool& pool,
                                                             const cache_map& cache,
                                                             policy* ranking, instant now);

  private:
    /// Engines without a cached prefix that are weighed, least loaded first. Chosen, not measured.
    static constexpr std::size_t sampled_engines = 4;

    struct candidate {
        const backend_state* engine = nullptr;
        token_count cached_tokens = 0;
    };

    /// Available engines that hold a prefix of the prompt, longest first.
    [[nodiscard]] std::vector<candidate> holders_of_prompt(const placement_request& request,
                                                           const backend_pool& pool,
                                                           const cache_map& cache,
                                                           instant now) const;
    static void put_affinity_target_first(std::vector<candidate>& options,
                                          const placement_request& request,
                                          const backend_pool& pool, instant now);
    std::vector<candidate> gather(const placement_request& request, const backend_pool& pool,
                                  const cache_map& cache, instant now) const;
    const backend_state* next_in_turn(const backend_pool& pool, const std::string& model,
                                      instant now);
    /// Engines that are weighed although nothing is known to tie the call to them.
    std::vector<const backend_state*> sampled(const placement_request& request,
                                              const backend_pool& pool, instant now) const;
    static double cost_of(const placement_request& request, const candidate& option,
                          policy* ranking, instant now);

    strategy strategy_;
    backend_name last_in_turn_;
};

}  // namespace tallyfold::scheduling
