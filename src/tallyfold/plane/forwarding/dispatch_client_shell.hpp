#pragma once
/// @file
/// Obtains places at engines from the directory nodes that dispatch them, releases places, and
/// renews the leases of running calls. Owns the exchange of messages and the timers of waiting
/// calls; dispatcher_choice selects the node that is asked, directory_client provides the
/// transport. Used on the loop thread only.
///
/// A call without an answer in time is sent without a place (place_kind::alone): the forwarder
/// selects the engine itself and reports the call, so that the dispatcher counts it.

#include <asio/awaitable.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "tallyfold/plane/decisions/dispatcher_choice.hpp"
#include "tallyfold/plane/decisions/place_kind.hpp"
#include "tallyfold/plane/directory/directory_client_shell.hpp"
#include "tallyfold/plane/dispatch/engine_groups.hpp"
#include "tallyfold/plane/dispatch/messages.hpp"
#include "tallyfold/plane/forwarding/forwarder_metrics.hpp"
#include "tallyfold/plane/process/node_process_shell.hpp"

namespace tallyfold::forwarding {

struct place_result {
    place_kind kind = place_kind::alone;
    dispatch::call_number call = 0;
    /// Set when granted or forced.
    backend_name engine;
    token_count cached_tokens = 0;
    /// Time from the request to the first answer, and in the dispatcher's queue. Without an answer,
    /// or once answers stop, they end when the call is decided alone.
    duration answer_time{};
    duration waited{};
    /// The following are set with `refused`.
    dispatch::place_reason reason = dispatch::place_reason::none;
    duration expected_wait{};
    duration retry_after{};
    node_name dispatcher;
    std::uint32_t running = 0;
    std::uint32_t slots = 0;
};

class dispatch_client {
  public:
    dispatch_client(net::node_process& process, directory::directory_client& directory,
                    forwarder_metrics& metrics);

    void start();
    /// True when calls to engines get their places from a dispatcher.
    [[nodiscard]] bool is_enabled() const;
    /// Number for a call, with which it is requested, reported and released.
    dispatch::call_number next_call() { return next_call_++; }
    /// Requests a place.
    /// @param request with `call` from next_call(); `node` and `process_id` are set here. Must
    /// outlive the operation
    /// @param engines number of engines of the service
    asio::awaitable<place_result> acquire(dispatch::place_request& request, std::size_t engines);
    /// Ends the wait of a call whose caller has left; acquire() then returns `alone`.
    void cancel(dispatch::call_number call);
    /// Reports that a call is sent to an engine: with a place, or selected by this node.
    /// @param program as in place_request
    /// @param tokens of the prompt and the longest answer
    void sent(const place_result& place, const std::string& service, const backend_name& engine,
              std::uint64_t program, std::uint32_t tokens, std::size_t engines);
    /// Gives back a granted place whose call is not sent.
    void give_back(const place_result& place, const std::string& service) {
        withdraw(place.dispatcher, place.call, service);
    }
    /// Releases the place of a call that was sent.
    void release(const dispatch::released_call& ended);

  private:
    using call_number = dispatch::call_number;
    /// A call that waits for an answer.
    struct waiting_call {
        explicit waiting_call(asio::io_context& loop) : timer(loop) {}
        asio::steady_timer timer;
        node_name dispatcher;
        std::string service;
        /// The latest answer that has not been handled.
        std::optional<dispatch::place_answer> answer;
        bool cancelled = false;
    };
    /// A call that runs at an engine.
    struct sent_call {
        dispatch::engine_group group;
        /// Node that granted the place; empty without one.
        node_name granted_by;
        /// Node that the lease is renewed at; empty while none knows of the call.
        node_name dispatcher;
        dispatch::running_call call;
        instant sent_at{};
    };

    [[nodiscard]] static dispatch::engine_group group_of(const std::string& service,
                                                         std::uint64_t program, call_number call,
                                                         std::size_t engines);
    /// Node to ask for a place.
    [[nodiscard]] std::optional<node_name> dispatcher_of(const dispatch::engine_group& group,
                                                         instant now) const;
    /// Node to report running calls to: a node that has been silent gets them again only after an
    /// answer, unless there is no other.
    [[nodiscard]] std::optional<node_name> renewal_target_of(const dispatch::engine_group& group,
                                                             instant now) const;
    asio::awaitable<place_result> wait_for_place(waiting_call& waiting,
                                                 const dispatch::place_request& request,
                                                 const dispatch::engine_group& group);
    place_result result_of(const dispatch::place_answer& answer, const waiting_call& waiting);
    void on_message(const node_name& from, const messaging::peer_message& message);
    void on_answer(const node_name& from, const dispatch::place_answer& answer);
    /// Passes over a directory node that did not answer, or, for one service, that does not know
    /// it.
    /// @param choice `choice_`, or the service's one of `choice_by_service_`
    /// @param asked_at when the request was sent
    void pass_over(dispatcher_choice& choice, const node_name& node,
                   const dispatch::engine_group& group, instant asked_at,
                   const std::string& reason);
    /// True when the node can be asked for places of the service.
    [[nodiscard]] bool is_usable(const node_name& node, const std::string& service,
                                 instant now) const;
    /// True from a silence of the node until its next answer.
    [[nodiscard]] bool is_doubtful(const node_name& node, const std::string& service) const;
    void withdraw(const node_name& dispatcher, call_number call, const std::string& service);
    /// Renews the leases of calls that have run for some time, and reports the others where their
    /// dispatcher has changed.
    void renew_leases();
    void send_renewal(const node_name& to, std::vector<dispatch::running_call> calls);

    net::node_process& process_;
    directory::directory_client& directory_;
    forwarder_metrics& metrics_;
    dispatcher_choice choice_;
    /// Directory nodes that do not know the service. By service, since a service without engines
    /// must not keep the calls of others from their dispatchers.
    std::map<std::string, dispatcher_choice> choice_by_service_;
    std::uint64_t process_id_;
    call_number next_call_ = 1;
    std::map<call_number, waiting_call*> waiting_;
    std::map<call_number, sent_call> sent_;
    /// Directory nodes whose connection was made since the last renewal to them, so that they may
    /// be new processes that know of no calls.
    std::set<node_name> reconnected_;
};

}  // namespace tallyfold::forwarding
