#include "tallyfold/scheduling/placement.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/scheduling/rendezvous.hpp"

namespace tallyfold::scheduling {

namespace {

/// Prompt processing time of an engine, in milliseconds per token, while none has been observed.
constexpr double default_read_ms_per_token = 0.01;

engine_features features_of(const placement_request& request, const backend_state& engine,
                            token_count cached_tokens, instant now) {
    engine_features features;
    features.cached_tokens = static_cast<double>(cached_tokens);
    features.uncached_tokens = static_cast<double>(request.prompt_tokens - cached_tokens);
    features.outstanding = engine.outstanding();
    features.slots = std::max(1U, engine.member.slots);
    features.pending_prefill_tokens = static_cast<double>(engine.pending_prefill_tokens);
    features.cache_fill = engine.reported.cache_fill;
    const double learned = request.pace != nullptr ? request.pace->read_ms_per_token() : 0;
    const double ms_per_token = learned > 0 ? learned : default_read_ms_per_token;
    features.read_ms = features.uncached_tokens * ms_per_token;
    features.pending_read_ms = features.pending_prefill_tokens * ms_per_token;
    if (request.pace != nullptr) {
        features.gap_ms = request.pace->gap_ms(engine.member.name, now);
        features.idle_gap_ms = request.pace->idle_gap_ms();
    }
    features.same_zone = engine.member.zone == request.zone;
    return features;
}

/// Prompt tokens that one running call counts for in the built-in cost.
constexpr double tokens_per_running_call = 64;

double built_in_cost(const engine_features& engine) {
    return engine.uncached_tokens + engine.pending_prefill_tokens +
           engine.outstanding * tokens_per_running_call;
}

bool has_free_slot(const backend_state& engine) {
    return engine.outstanding() < engine.member.slots;
}

}  // namespace

std::optional<strategy> parse_strategy(std::string_view name) {
    if (name == "tallyfold") {
        return strategy::policy;
    }
    if (name == "round_robin") {
        return strategy::round_robin;
    }
    if (name == "least_outstanding") {
        return strategy::least_outstanding;
    }
    if (name == "affinity_fcfs") {
        return strategy::affinity_fcfs;
    }
    return std::nullopt;
}

backend_name affinity_target(const std::string& key, const backend_pool& pool, instant now) {
    const std::uint64_t key_hash = stable_hash(key);
    backend_name chosen;
    std::uint64_t best = 0;
    for (const auto& [name, backend] : pool.all()) {
        const std::uint64_t weight = rendezvous_weight(key_hash, backend.name_hash);
        if ((chosen.empty() || weight > best) && pool.available(backend, now)) {
            chosen = name;
            best = weight;
        }
    }
    return chosen;
}

double placement::cost_of(const placement_request& request, const candidate& option,
                          policy* ranking, instant now) {
    const engine_features features =
        features_of(request, *option.engine, option.cached_tokens, now);
    if (ranking != nullptr) {
        if (const auto cost = ranking->place(request.call, features)) {
            return *cost;
        }
    }
    return built_in_cost(features);
}

const backend_state* placement::next_round_robin(const backend_pool& pool, const std::string& model,
                                                 instant now) {
    const auto& all = pool.all();
    auto position = all.upper_bound(last_round_robin_);
    for (std::size_t step = 0; step < all.size(); ++step) {
        if (position == all.end()) {
            position = all.begin();
        }
        const backend_state& engine = position->second;
        const bool fits = model.empty() || engine.member.variant == model;
        if (fits && pool.available(engine, now)) {
            last_round_robin_ = position->first;
            return &engine;
        }
        ++position;
    }
    return nullptr;
}

std::vector<const backend_state*> placement::sampled(const placement_request& request,
                                                     const backend_pool& pool, instant now) const {
    if (strategy_ != strategy::policy) {
        // A baseline sends each call at once and leaves queuing to the engine.
        return pool.least_loaded(1, request.model, true, now);
    }
    if (request.sample == nullptr) {
        return pool.least_loaded(max_sampled_engines, request.model, false, now);
    }
    std::vector<const backend_state*> engines;
    for (const backend_state* engine : *request.sample) {
        const bool fits = request.model.empty() || engine->member.variant == request.model;
        if (fits && has_free_slot(*engine)) {
            engines.push_back(engine);
        }
    }
    return engines;
}

std::vector<placement::candidate> placement::prefix_holders(const placement_request& request,
                                                            const backend_pool& pool,
                                                            const cache_map& cache,
                                                            instant now) const {
    std::vector<candidate> options;
    const bool uses_cache = strategy_ == strategy::policy || strategy_ == strategy::affinity_fcfs;
    if (!uses_cache || request.prompt == nullptr) {
        return options;
    }
    for (const cached_prefix& match : cache.find(*request.prompt)) {
        const backend_state* engine = pool.find(match.engine);
        const bool usable = engine != nullptr && pool.available(*engine, now) &&
                            (request.model.empty() || engine->member.variant == request.model);
        if (usable) {
            options.push_back({engine, std::min(match.tokens, request.prompt_tokens)});
        }
    }
    return options;
}

void placement::put_affinity_target_first(std::vector<candidate>& options,
                                          const placement_request& request,
                                          const backend_pool& pool, instant now) {
    const backend_state* target =
        request.affinity_target.empty() ? nullptr : pool.find(request.affinity_target);
    if (target == nullptr || !pool.available(*target, now)) {
        return;
    }
    const token_count held = std::min(request.affinity_tokens, request.prompt_tokens);
    auto known = std::find_if(options.begin(), options.end(),
                              [&](const candidate& other) { return other.engine == target; });
    if (known == options.end()) {
        known = options.insert(options.end(), {target, held});
    } else {
        known->cached_tokens = std::max(known->cached_tokens, held);
    }
    std::rotate(options.begin(), known, known + 1);
}

std::vector<placement::candidate> placement::gather_candidates(const placement_request& request,
                                                               const backend_pool& pool,
                                                               const cache_map& cache,
                                                               instant now) const {
    std::vector<candidate> options = prefix_holders(request, pool, cache, now);
    if (strategy_ == strategy::policy) {
        put_affinity_target_first(options, request, pool, now);
    }
    for (const backend_state* engine : sampled(request, pool, now)) {
        const bool known = std::any_of(options.begin(), options.end(), [&](const candidate& other) {
            return other.engine == engine;
        });
        if (!known) {
            options.push_back({engine, 0});
        }
    }
    return options;
}

tl::expected<placement_choice, placement_refusal> placement::choose(
    const placement_request& request, const backend_pool& pool, const cache_map& cache,
    policy* ranking, instant now) {
    if (strategy_ == strategy::round_robin) {
        const backend_state* engine = next_round_robin(pool, request.model, now);
        if (engine == nullptr) {
            return tl::unexpected(placement_refusal::all_busy);
        }
        return placement_choice{engine->member.name, 0, 0, 1};
    }
    const std::vector<candidate> options = gather_candidates(request, pool, cache, now);
    if (options.empty()) {
        return tl::unexpected(pool.all().empty() ? placement_refusal::none_available
                                                 : placement_refusal::all_busy);
    }
    if (strategy_ != strategy::policy) {
        // Strategies that use the cache list the longest cached prefix first.
        const candidate& first = options.front();
        return placement_choice{first.engine->member.name, first.cached_tokens, 0, options.size()};
    }
    const candidate* best = nullptr;
    double best_cost = 0;
    for (const candidate& option : options) {
        const double cost = cost_of(request, option, ranking, now);
        if (best == nullptr || cost < best_cost) {
            best = &option;
            best_cost = cost;
        }
    }
    if (!has_free_slot(*best->engine)) {
        return tl::unexpected(placement_refusal::wait_for_cache);
    }
    return placement_choice{best->engine->member.name, best->cached_tokens, best_cost,
                            options.size()};
}

}  // namespace tallyfold::scheduling
