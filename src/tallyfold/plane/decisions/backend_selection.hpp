#pragma once
/// @file
/// Selects the back end for a call. No I/O; backend_registry provides the state of the service and
/// the source of random numbers.
///
/// A call that continues a stream goes to a back end of the stream's version
/// (`selection_rule::required_version`): an untried one of the whole service, of the least
/// restricted eligibility that any of them has, and the less loaded of two of these. No other rule
/// applies to it. Only if no other is left, a back end that is leaving gets it, for a short time.
///
/// Rules for all other calls, of which the first that finds a back end applies:
///
/// 1. Placement (`selection_rule::placement`): the first send of a call to an engine goes to the
///    engine with the lowest cost, which depends on the cached prefix of the prompt, the pending
///    work and the speed of the engine (scheduling/placement, operator policy). Placement selects
///    none when every engine has all slots taken, or when waiting for a full one costs less.
///    Retries skip this rule, because placement does not exclude engines that were tried.
/// 2. Affinity target (`selection_rule::affinity_target`): a call about an object goes to the back
///    end that every node derives for the object, among all back ends of the service.
/// 3. Load (`selection_rule::less_loaded_of_two`): any other call goes to the less loaded of two
///    random back ends of the subset of this node.
///
/// Rules 2 and 3 use the first non-empty list of these, without the back ends that were tried:
///
/// a. trusted back ends, for calls that must run at most once, unless most back ends have reported
///    failures;
/// b. available back ends, including those with a reported failure;
/// c. all back ends of the service that are not excluded, including ejected ones, because an
///    ejected back end may answer while an empty list fails the call.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/decisions/backend_eligibility.hpp"
#include "tallyfold/plane/decisions/backend_subset.hpp"
#include "tallyfold/plane/process/mechanisms.hpp"
#include "tallyfold/scheduling/placement.hpp"

namespace tallyfold::forwarding {

/// Properties of a call that determine the selection.
struct selection_request {
    std::string service;
    bool is_engine = false;
    /// False if the request must run at most once.
    bool repeatable = false;
    /// Key of the object of the call, for services whose back ends cache objects; empty otherwise.
    std::string object;
    /// Back ends to which this request was already sent.
    std::set<backend_name> tried;
    /// Software version that the back end must have, for a call that continues a stream. An empty
    /// text matches none.
    std::optional<std::string> version;
    /// Program of the request; its calls prefer the same engine.
    std::string program;
    const std::vector<scheduling::prefix_point>* prompt = nullptr;
    token_count prompt_tokens = 0;
    /// Input of the policy.
    scheduling::call_features call;
    /// Policy that computes the cost of an engine; null for the built-in cost.
    scheduling::policy* ranking = nullptr;
};

/// Rule that selected the back end.
enum class selection_rule : std::uint8_t {
    placement,
    affinity_target,
    less_loaded_of_two,
    /// Selected by the dispatcher of the engine group.
    dispatched,
    required_version,
};

struct chosen_backend {
    backend_name name;
    /// Address of the HTTP interface, as "ip:port".
    std::string address;
    /// Estimated number of prompt tokens that the back end has cached.
    token_count cached_tokens = 0;
    selection_rule rule = selection_rule::less_loaded_of_two;
    /// Most restricted eligibility that the candidate list admitted.
    backend_eligibility accepted_eligibility = backend_eligibility::distrusted;
    /// Software version of the back end; empty when unknown.
    std::string version = {};
};

[[nodiscard]] chosen_backend chosen_from(const scheduling::backend_state& backend,
                                         token_count cached_tokens, selection_rule rule,
                                         backend_eligibility accepted);

/// State of the back ends of one service, as known to this node.
struct selection_state {
    const scheduling::backend_pool& pool;
    const backend_subset& subset;
    const reported_failures& reported;
    const scheduling::engine_pace& pace;
    const scheduling::cache_map& cache;
};

class backend_selector {
  public:
    /// @param zone zone of this node
    /// @param off mechanisms that are disabled for a measurement
    backend_selector(std::string zone, scheduling::strategy strategy,
                     settings::disabled_mechanisms off)
        : zone_(std::move(zone)), placement_(strategy), off_(std::move(off)) {}

    /// @return nothing when no back end of the service is eligible
    std::optional<chosen_backend> select(const selection_request& question,
                                         const selection_state& state, random_source& random,
                                         instant now);

  private:
    using backend_list = std::vector<const scheduling::backend_state*>;

    /// Selects a back end of the required version.
    [[nodiscard]] static std::optional<chosen_backend> select_of_version(
        const selection_request& question, const selection_state& state, random_source& random,
        instant now);
    /// Applies rule 1.
    std::optional<chosen_backend> place(const selection_request& question,
                                        const selection_state& state, instant now);
    /// Lists a to c. @return the candidates, and the most restricted eligibility that their list
    /// admits
    [[nodiscard]] std::pair<backend_list, backend_eligibility> candidates(
        const selection_request& question, const selection_state& state, instant now) const;
    /// Untried back ends that are at most as restricted as `worst`: of the subset of this node, or
    /// of the whole service for calls with object affinity.
    [[nodiscard]] backend_list eligible_backends(backend_eligibility worst,
                                                 const selection_request& question,
                                                 const selection_state& state, bool whole_service,
                                                 instant now) const;
    [[nodiscard]] bool uses_object_affinity(const selection_request& question) const;
    [[nodiscard]] bool is_disabled(settings::mechanism mechanism) const {
        return off_.contains(mechanism);
    }

    std::string zone_;
    scheduling::placement placement_;
    settings::disabled_mechanisms off_;
};

}  // namespace tallyfold::forwarding
