#pragma once
/// @file
/// The back ends of all services as one node sees them, and the choice among them. Pure.

#include <map>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/common/random.hpp"
#include "tallyfold/listing/types.hpp"
#include "tallyfold/scheduling/placement.hpp"

namespace tallyfold::forwarding {

/// What the choice of a back end depends on.
struct backend_question {
    std::string service;
    bool is_engine = false;
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

class backend_registry {
  public:
    backend_registry(std::string zone, std::uint64_t seed);

    /// Takes the whole list as it stands. @return true when it differs from the one before
    bool update(const std::vector<listing::listed_backend>& backends, instant now);
    /// Nothing when no back end of the service can be given the request.
    std::optional<chosen_backend> choose(const backend_question& question, instant now);

    void started(const std::string& service, const backend_name& name, token_count prompt_tokens,
                 instant now);
    /// The first byte of the answer to a call that began at `since` is here.
    void answering(const std::string& service, const backend_name& name, instant since,
                   instant now);
    /// A call that began at `since` has ended, however.
    void finished(const std::string& service, const backend_name& name, instant since);
    /// Leaves out back ends that keep a call without a byte for much longer than is usual.
    /// @return those that are newly suspected
    std::vector<backend_name> suspect_silent(instant now);
    void succeeded(const std::string& service, const backend_name& name);
    void failed(const std::string& service, const backend_name& name, instant now);
    void unreachable(const std::string& service, const backend_name& name, instant now);
    /// The back end's incarnation is gone, whatever the list says.
    void gone(const std::string& service, const backend_name& name);
    /// The engine has read a prompt: it holds its parts now.
    void read_prompt(const backend_name& name, const std::vector<scheduling::prefix_point>& prompt,
                     token_count pending_tokens, const std::string& service);

    [[nodiscard]] instant listed_at() const { return listed_at_; }
    [[nodiscard]] bool has_list() const { return has_list_; }
    [[nodiscard]] std::size_t size() const;

  private:
    /// Calls of one service that have not got a byte yet, and how long that takes as a rule.
    struct waiting_calls {
        std::map<backend_name, std::multiset<instant>> since;
        duration usual{};
    };

    std::optional<chosen_backend> choose_engine(const backend_question& question,
                                                const scheduling::backend_pool& pool, instant now);
    std::optional<chosen_backend> choose_service(const backend_question& question,
                                                 const scheduling::backend_pool& pool, instant now);

    std::string zone_;
    random_source random_;
    std::map<std::string, scheduling::backend_pool> pools_;
    std::map<std::string, std::vector<scheduling::backend_member>> listed_;
    std::map<std::string, waiting_calls> waiting_;
    scheduling::cache_map cache_{20'000};
    scheduling::placement placement_{scheduling::strategy::policy};
    instant listed_at_{};
    bool has_list_ = false;
};

}  // namespace tallyfold::forwarding
