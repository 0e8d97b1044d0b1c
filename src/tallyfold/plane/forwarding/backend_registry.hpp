#pragma once
/// @file
/// The back ends of all services as one node sees them: members, calls under way, failures, pace,
/// cached prompts. Pure. Owns the state; plane/decisions chooses by it (backend_selection) and says
/// whom to distrust (backend_distrust). Belongs to the loop thread.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/decisions/backend_selection.hpp"
#include "tallyfold/plane/decisions/silence_suspicion.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/process/mechanisms.hpp"
#include "tallyfold/scheduling/engine_pace.hpp"

namespace tallyfold::forwarding {

/// One call under way at a back end, from started() to finished().
struct backend_call {
    std::string service;
    backend_name backend;
    instant since{};
    /// Prompt tokens that the engine still has to read for it.
    token_count unread_tokens = 0;
    bool awaits_first_byte = true;
};

class backend_registry {
  public:
    /// @param seed differs from node to node, so that their choices do
    /// @param off what is switched off for a measurement
    backend_registry(std::string zone, std::uint64_t seed,
                     scheduling::strategy chosen = scheduling::strategy::policy,
                     settings::switched_off off = {});

    /// Takes the whole list as it stands. @return true when it differs from the one before
    bool update(const std::vector<discovery::listed_backend>& backends, instant now);
    /// The back end for a call, by the rules of backend_selection.
    /// @return nothing when no back end of the service may be given the call
    std::optional<chosen_backend> choose(const backend_question& question, instant now);

    /// Books a call where it was placed: the part of its prompt that the back end doesn't hold has
    /// to be read there.
    backend_call started(const std::string& service, const chosen_backend& chosen,
                         token_count prompt_tokens, instant now);
    /// The first byte of the call's answer is here.
    void first_byte_came(backend_call& call, instant now);
    /// The call has ended, however.
    void finished(backend_call& call);
    /// Ejects back ends by silence suspicion. @return those that were available before
    std::vector<backend_name> suspect_silent(instant now);
    /// Outlier ejection: a call has ended well, has failed, found nothing that accepts connections.
    void succeeded(const std::string& service, const backend_name& name);
    void failed(const std::string& service, const backend_name& name, instant now);
    void unreachable(const std::string& service, const backend_name& name, instant now);
    /// Reported failures: the back end broke a call off before any byte of its answer, at this node
    /// or another.
    /// @return its address when the failure isn't known yet; empty otherwise
    std::string note_broken_connection(const backend_name& name, instant at);
    /// The back end's incarnation was replaced, whatever the list says: it gets no call until the
    /// list names a new address.
    void incarnation_replaced(const std::string& service, const backend_name& name);
    /// The engine holds the parts of a prompt now: it has read them, or made them.
    void note_cached(const backend_name& name, const std::vector<scheduling::prefix_point>& prompt);

    /// How quickly the engines of a service work.
    [[nodiscard]] scheduling::engine_pace& pace_of(const std::string& service) {
        return state_of(service).pace;
    }
    /// 0 to 1, evenly.
    [[nodiscard]] double draw_jitter() { return random_.unit(); }
    /// When the list in force was seen.
    [[nodiscard]] instant listed_at() const { return listed_at_; }
    /// False until the first list has come.
    [[nodiscard]] bool has_list() const { return has_list_; }

  private:
    /// Prefixes that are remembered. Chosen, not measured: at some hundred bytes each a few MB.
    static constexpr std::size_t max_cached_prefixes = 20'000;

    /// What is known of one service's back ends.
    struct service_state {
        explicit service_state(std::uint64_t node_key) : subset(node_key) {}

        scheduling::backend_pool pool;
        /// Back ends that this node keeps to.
        backend_subset subset;
        scheduling::engine_pace pace;
        silence_suspicion silence;
    };

    service_state& state_of(const std::string& service);
    [[nodiscard]] const scheduling::backend_state* find(const backend_name& name) const;
    [[nodiscard]] bool is_disabled(settings::mechanism asked) const { return off_.contains(asked); }

    /// Key of this node's subsets.
    std::uint64_t node_key_;
    random_source random_;
    settings::switched_off off_;
    backend_selector selector_;
    /// The list in force, by service.
    std::map<std::string, std::vector<scheduling::backend_member>> listed_;
    std::map<std::string, service_state> services_;
    /// Prefixes of prompts that engines of all services hold.
    scheduling::cache_map cache_{max_cached_prefixes};
    reported_failures reported_;
    instant listed_at_{};
    bool has_list_ = false;
};

}  // namespace tallyfold::forwarding
