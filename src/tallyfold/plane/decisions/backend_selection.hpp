#pragma once
/// @file
/// Which back end a call is sent to. Pure: backend_registry brings the state of the service, and
/// gives the random source.
///
/// Rules in order; the first that finds a back end decides:
///
/// 1. Placement (`selection_rule::placement`): an engine's call that has been at no back end yet
///    goes where it costs least, by what each engine holds of the prompt, what waits there and how
///    fast it works (scheduling/placement, the operators' policy). Placement refuses when every
///    engine has all its slots taken, or when a full one is worth waiting for. A call that is sent
///    again skips it: placement doesn't know where the call has been and would name that engine
///    again.
/// 2. Affinity target (`selection_rule::affinity_target`): a call about an object goes to the back
///    end that all nodes derive for it, among all back ends of the service.
/// 3. Load (`selection_rule::less_loaded_of_two`): any other call goes to the less loaded one of
///    two random ones of the node's subset.
///
/// 2 and 3 take the first of these lists that isn't empty, each without the back ends where the
/// call has been:
///
/// a. trusted ones, for calls that must run at most once, unless most back ends are distrusted;
/// b. available ones, also where a failure was reported;
/// c. all of the service that aren't excluded, ejected ones too: one that failed lately may
///    answer, while a refusal here is certain to fail the call.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/decisions/backend_distrust.hpp"
#include "tallyfold/plane/decisions/backend_subset.hpp"
#include "tallyfold/plane/process/mechanisms.hpp"
#include "tallyfold/scheduling/placement.hpp"

namespace tallyfold::forwarding {

/// What the choice of a back end depends on.
struct backend_question {
    std::string service;
    bool is_engine = false;
    /// False: the request must run at most once.
    bool repeatable = false;
    /// What it is about, where back ends work faster on what they know; empty otherwise.
    std::string object;
    /// Back ends that this request has been at.
    std::set<backend_name> tried;
    /// Program of the request; its calls belong together on one engine.
    std::string program;
    const std::vector<scheduling::prefix_point>* prompt = nullptr;
    token_count prompt_tokens = 0;
    /// What a policy may know of the request.
    scheduling::call_features call;
    /// Null for the built-in cost.
    scheduling::policy* ranking = nullptr;
};

/// The rule that named the back end.
enum class selection_rule : std::uint8_t { placement, affinity_target, less_loaded_of_two };

struct chosen_backend {
    backend_name name;
    /// "ip:port" of its HTTP interface.
    std::string address;
    /// Tokens of the prompt that it is believed to hold.
    token_count cached_tokens = 0;
    selection_rule rule = selection_rule::less_loaded_of_two;
    /// The worst standing that was let in when it was chosen.
    backend_eligibility accepted_eligibility = backend_eligibility::distrusted;
};

/// One service's back ends as this node sees them.
struct selection_state {
    const scheduling::backend_pool& pool;
    const backend_subset& subset;
    const reported_failures& reported;
    const scheduling::engine_pace& pace;
    const scheduling::cache_map& cache;
};

class backend_selector {
  public:
    /// @param zone of this node
    /// @param off mechanisms that are switched off for a measurement
    backend_selector(std::string zone, scheduling::strategy strategy, settings::switched_off off)
        : zone_(std::move(zone)), placement_(strategy), off_(std::move(off)) {}

    /// @return nothing when no back end of the service may be given the call
    std::optional<chosen_backend> select(const backend_question& question,
                                         const selection_state& state, random_source& random,
                                         instant now);

  private:
    using backend_list = std::vector<const scheduling::backend_state*>;

    /// Rule 1.
    std::optional<chosen_backend> place(const backend_question& question,
                                        const selection_state& state, instant now);
    /// Lists a to c. @return the candidates, and the worst standing among them that was let in
    [[nodiscard]] std::pair<backend_list, backend_eligibility> candidates(
        const backend_question& question, const selection_state& state, instant now) const;
    /// Back ends up to a standing where the call hasn't been: of the node's subset, or of the whole
    /// service for a call that goes by its object.
    [[nodiscard]] backend_list eligible_backends(backend_eligibility worst,
                                                 const backend_question& question,
                                                 const selection_state& state, bool whole_service,
                                                 instant now) const;
    [[nodiscard]] bool uses_object_affinity(const backend_question& question) const;
    [[nodiscard]] bool is_disabled(settings::mechanism asked) const { return off_.contains(asked); }

    std::string zone_;
    scheduling::placement placement_;
    settings::switched_off off_;
};

}  // namespace tallyfold::forwarding
