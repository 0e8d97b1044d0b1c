#pragma once
/// @file
/// The back ends of all services as one node sees them, and the choice among them. Pure.

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/plane/decisions/backend_distrust.hpp"
#include "tallyfold/plane/decisions/backend_subset.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/process/mechanisms.hpp"
#include "tallyfold/scheduling/engine_pace.hpp"
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

struct chosen_backend {
    backend_name name;
    std::string address;
    /// Tokens of the prompt that it is believed to hold.
    token_count cached_tokens = 0;
};

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
    /// Nothing when no back end of the service can be given the request.
    std::optional<chosen_backend> choose(const backend_question& question, instant now);

    /// Books a call where it was placed: the part of its prompt that the back end doesn't hold has
    /// to be read there.
    backend_call started(const std::string& service, const chosen_backend& chosen,
                         token_count prompt_tokens, instant now);
    /// The first byte of the call's answer is here.
    void answering(backend_call& call, instant now);
    /// The call has ended, however.
    void finished(backend_call& call);
    /// Leaves out back ends that keep a call without a byte for much longer than is usual.
    /// @return those that are newly suspected
    std::vector<backend_name> suspect_silent(instant now);
    void succeeded(const std::string& service, const backend_name& name);
    void failed(const std::string& service, const backend_name& name, instant now);
    void unreachable(const std::string& service, const backend_name& name, instant now);
    /// The back end broke a call off before any byte of its answer, at this node or another.
    /// @return its address when the break isn't known yet; empty otherwise
    std::string broke_off(const backend_name& name, instant at);
    /// The back end's incarnation is gone, whatever the list says.
    void gone(const std::string& service, const backend_name& name);
    /// The engine holds the parts of a prompt now: it has read them, or made them.
    void holds(const backend_name& name, const std::vector<scheduling::prefix_point>& prompt);

    /// How quickly the engines of a service work.
    [[nodiscard]] scheduling::engine_pace& pace_of(const std::string& service) {
        return paces_[service];
    }
    /// 0 to 1, evenly.
    [[nodiscard]] double draw_jitter() { return random_.unit(); }
    [[nodiscard]] instant listed_at() const { return listed_at_; }
    [[nodiscard]] bool has_list() const { return has_list_; }
    [[nodiscard]] std::size_t size() const;

  private:
    /// Calls of one service that have not got a byte yet, and how long that takes as a rule.
    struct waiting_calls {
        std::map<backend_name, std::multiset<instant>> since;
        duration usual{};
    };

    /// Nothing waits for a first byte of the call any more.
    void stop_waiting(const backend_call& call);
    std::optional<chosen_backend> choose_engine(const backend_question& question,
                                                const scheduling::backend_pool& pool, instant now);
    std::optional<chosen_backend> choose_service(const backend_question& question,
                                                 const scheduling::backend_pool& pool, instant now);

    /// The back end that every node expects the object at, or the next in the object's order while
    /// this node keeps that one busy.
    static chosen_backend home_of_object(
        const std::string& object, const std::vector<const scheduling::backend_state*>& options);
    chosen_backend less_loaded_of_two(const std::vector<const scheduling::backend_state*>& options);
    [[nodiscard]] bool goes_by_object(const backend_question& question) const;
    /// Back ends that the call may go to: of the node's own few, or of all when it goes by object.
    [[nodiscard]] std::vector<const scheduling::backend_state*> candidates(
        const backend_question& question, const scheduling::backend_pool& pool,
        const std::function<bool(const scheduling::backend_state&)>& condition) const;
    /// A fault that most share is no reason to crowd the others.
    [[nodiscard]] bool most_are_doubted(const scheduling::backend_pool& pool, instant now) const;
    [[nodiscard]] const scheduling::backend_state* find(const backend_name& name) const;

    std::string zone_;
    std::uint64_t node_key_;
    random_source random_;
    std::map<std::string, scheduling::backend_pool> pools_;
    std::map<std::string, std::vector<scheduling::backend_member>> listed_;
    /// Back ends that this node keeps to, by service.
    std::map<std::string, backend_subset> subsets_;
    std::map<std::string, waiting_calls> waiting_;
    std::map<std::string, scheduling::engine_pace> paces_;
    scheduling::cache_map cache_{20'000};
    scheduling::placement placement_;
    settings::switched_off off_;
    backend_distrust breaks_;
    instant listed_at_{};
    bool has_list_ = false;
};

}  // namespace tallyfold::forwarding
