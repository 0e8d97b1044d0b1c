#pragma once
/// @file
/// State of the back ends of all services on one node: members, running calls, failures, pace and
/// cached prompts. Does no I/O. Owns the state; the rules are in plane/decisions
/// (backend_selection, backend_distrust). Used on the loop thread only.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/decisions/backend_selection.hpp"
#include "tallyfold/plane/decisions/silence_detector.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/process/mechanisms.hpp"
#include "tallyfold/scheduling/engine_pace.hpp"

namespace tallyfold::forwarding {

/// One call running at a back end, from started() to finished().
struct backend_call {
    std::string service;
    backend_name backend;
    instant started_at{};
    /// Prompt tokens that the engine has not cached and has to prefill.
    token_count uncached_tokens = 0;
    bool awaits_first_byte = true;
};

class backend_registry {
  public:
    /// @param seed must differ between nodes, so that their choices differ
    /// @param disabled mechanisms that are switched off for measurements
    backend_registry(std::string zone, std::uint64_t seed,
                     scheduling::strategy chosen = scheduling::strategy::policy,
                     settings::disabled_mechanisms disabled = {});

    /// Applies what changed in the list of back ends. @param polled_at when the list was polled
    void apply(const discovery::list_changes& changes, instant polled_at);
    /// Replaces the list of back ends. @return true when it differs from the previous one
    bool update(const std::vector<discovery::listed_backend>& backends, instant now);
    /// Excludes the back ends of these zones from new calls, and admits those of all others.
    void set_evacuated_zones(std::set<std::string> zones);
    /// True when the service has back ends that are excluded only because their zones are
    /// evacuated, and no others.
    [[nodiscard]] bool is_evacuated(const std::string& service) const;
    /// True unless the back end has left, has another version by now, or its zone is evacuated; for
    /// a call that resumes where it ran.
    /// @param version version of the back end at which the call ran
    [[nodiscard]] bool may_resume_at(const std::string& service, const backend_name& name,
                                     const std::string& version) const;
    /// Software versions of the service's back ends, including those that are leaving, each once.
    [[nodiscard]] std::vector<std::string> versions_of(const std::string& service) const;
    /// Selects a back end for a call by the rules of backend_selection.
    /// @return nothing when no back end of the service is eligible
    std::optional<chosen_backend> choose(const selection_request& question, instant now);

    /// The back end that a dispatcher selected; nothing when it is unknown here or leaving.
    [[nodiscard]] std::optional<chosen_backend> find_dispatched(const std::string& service,
                                                                const backend_name& name,
                                                                token_count cached_tokens) const;
    /// Number of back ends of the service, including those that are leaving.
    [[nodiscard]] std::size_t count(const std::string& service) const;
    /// Back ends of the service that `matches` holds for, at most `limit`.
    template <class Matches>
    [[nodiscard]] std::vector<backend_name> select(const std::string& service, std::size_t limit,
                                                   Matches&& matches) const {
        std::vector<backend_name> selected;
        const auto found = services_.find(service);
        if (found == services_.end()) {
            return selected;
        }
        for (const auto& [name, backend] : found->second.pool.all()) {
            if (selected.size() >= limit) {
                break;
            }
            if (matches(backend)) {
                selected.push_back(name);
            }
        }
        return selected;
    }
    /// Engines known to hold a prefix of the prompt, longest first.
    [[nodiscard]] std::vector<scheduling::cached_prefix> holders_of(
        const std::vector<scheduling::prefix_point>& prompt) const {
        return cache_.find(prompt);
    }
    /// Registers a call at the chosen back end. The uncached part of its prompt counts as pending
    /// prefill work there until the first byte.
    backend_call started(const std::string& service, const chosen_backend& chosen,
                         token_count prompt_tokens, instant now);
    /// Records the first byte of the call's answer.
    void first_byte_received(backend_call& call, instant now);
    /// Records the end of the call, whether it succeeded or failed.
    void finished(backend_call& call);
    /// Ejects back ends by silence suspicion. @return the newly ejected ones
    std::vector<backend_name> eject_silent(instant now);
    /// Input to outlier ejection: a call succeeded, failed, or could not connect.
    void succeeded(const std::string& service, const backend_name& name);
    void failed(const std::string& service, const backend_name& name, instant now);
    void unreachable(const std::string& service, const backend_name& name, instant now);
    /// Records that the back end closed a connection before the first byte of an answer, on this or
    /// another node.
    /// @return its address when the failure is new; empty otherwise
    std::string record_broken_connection(const backend_name& name, instant at);
    /// Drains a back end whose incarnation was replaced. It gets no calls until the list contains a
    /// new address for it.
    void incarnation_replaced(const std::string& service, const backend_name& name);
    /// Records that the engine has cached these prefixes of a prompt, read or generated.
    void record_cached(const backend_name& name,
                       const std::vector<scheduling::prefix_point>& prompt);

    /// Pace statistics of a service's engines.
    [[nodiscard]] scheduling::engine_pace& pace_of(const std::string& service) {
        return state_of(service).pace;
    }
    /// Uniform random number from 0 to 1.
    [[nodiscard]] double draw_jitter() { return random_.unit(); }
    /// Time of the last update of the list.
    [[nodiscard]] instant listed_at() const { return listed_at_; }
    /// True after the first update of the list.
    [[nodiscard]] bool has_backend_list() const { return has_backend_list_; }

  private:
    /// Capacity of the map of cached prefixes; at a few hundred bytes each, several MB.
    static constexpr std::size_t max_cached_prefixes = 20'000;

    /// State of one service's back ends.
    struct service_state {
        explicit service_state(std::uint64_t node_key) : subset(node_key) {}

        scheduling::backend_pool pool;
        /// Subset of the back ends that this node prefers.
        backend_subset subset;
        scheduling::engine_pace pace;
        silence_detector silence;
    };

    service_state& state_of(const std::string& service);
    void remove(const backend_name& name);
    [[nodiscard]] const scheduling::backend_state* find(const backend_name& name) const;
    [[nodiscard]] bool is_disabled(settings::mechanism asked) const {
        return disabled_.contains(asked);
    }

    /// Key by which this node's subsets are chosen.
    std::uint64_t node_key_;
    random_source random_;
    settings::disabled_mechanisms disabled_;
    backend_selector selector_;
    std::map<std::string, service_state> services_;
    std::set<std::string> evacuated_zones_;
    /// Prompt prefixes cached by the engines of all services.
    scheduling::cache_map cache_{max_cached_prefixes};
    reported_failures reported_;
    instant listed_at_{};
    bool has_backend_list_ = false;
};

}  // namespace tallyfold::forwarding
