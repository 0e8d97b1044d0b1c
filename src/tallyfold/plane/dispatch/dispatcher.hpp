#pragma once
/// @file
/// Dispatches the calls to one engine group: grants places, queues calls, refuses them, ends
/// leases. Pure state machine: messages and the time in, answers out. Joins place_ledger,
/// wait_queue and program_needs. directory/dispatch_service runs one for each group that forwarders
/// ask for.
///
/// Load pattern: as of place_ledger and wait_queue. The work for a message does not depend on the
/// number of nodes; it grows with the engines of the group and with the calls that wait.

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "tallyfold/plane/dispatch/place_ledger.hpp"
#include "tallyfold/plane/dispatch/program_needs.hpp"
#include "tallyfold/plane/dispatch/wait_queue.hpp"

namespace tallyfold::dispatch {

/// An answer and the forwarder's process that it is for.
struct addressed_answer {
    node_name node;
    place_answer answer;
};

/// Why a message, or a part of one, was ignored.
enum class message_fault : std::uint8_t {
    none,
    /// From a process of the node that has been replaced.
    earlier_process,
    /// A value that no working node sends.
    absurd_value,
    /// A renewal of a call at an engine that is not in the group.
    unknown_engine,
};

std::string text_of(message_fault fault);

struct dispatcher_settings {
    queue_settings queue;
    /// False: all engines count as equally fast (a measurement).
    bool learns_speed = true;
};

/// Counters since the last take_counters().
struct dispatch_counters {
    std::uint64_t granted = 0;
    /// Part of `granted` that waited.
    std::uint64_t waited = 0;
    /// Part of `granted` beyond the engine's slots.
    std::uint64_t forced = 0;
    std::uint64_t refused = 0;
    /// Leases that ended without a release.
    std::uint64_t expired = 0;
};

class dispatcher {
  public:
    /// Time after which a waiting call whose request was not repeated is dropped: three intervals
    /// at which forwarders repeat it.
    static constexpr duration request_lifetime = std::chrono::milliseconds(600);
    /// Time for which messages of a replaced process are ignored: longer than messages stay in
    /// the buffers of a connection whose process has ended. After it the process counts as present
    /// again, since the message that replaced it may have been a late one of an earlier process.
    static constexpr duration replaced_lifetime = std::chrono::seconds(5);
    /// Time without a message after which an empty dispatcher is idle.
    static constexpr duration idle_time = std::chrono::seconds(60);

    explicit dispatcher(dispatcher_settings settings);

    void set_engines(const std::vector<scheduling::backend_member>& engines,
                     token_count cache_tokens);
    /// Handles a request. @return the answer to it, and grants for waiting calls
    std::vector<addressed_answer> request(const place_request& request, instant now);
    /// Handles releases. @return grants for waiting calls
    std::vector<addressed_answer> release(const place_release& release, instant now);
    /// Handles renewals, and registers calls that are unknown.
    void renew(const place_renewal& renewal, instant now);
    /// Ends leases and waits; to be called each 20 ms. @return grants for waiting calls
    std::vector<addressed_answer> tick(instant now);

    /// True when a call of the node's present process runs or waits here.
    [[nodiscard]] bool knows_call(const node_name& node, std::uint64_t process_id,
                                  call_number call) const;
    /// Fault of the last message.
    [[nodiscard]] message_fault last_fault() const { return fault_; }
    [[nodiscard]] const group_room& room() const { return ledger_.room(); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }
    [[nodiscard]] duration longest_wait(instant now) const { return queue_.longest_wait(now); }
    [[nodiscard]] const place_ledger& ledger() const { return ledger_; }
    dispatch_counters take_counters() { return std::exchange(counters_, {}); }
    /// True when no call runs or waits and no message came for idle_time.
    [[nodiscard]] bool idle(instant now) const;

  private:
    struct forwarder_process {
        node_name node;
        std::uint64_t process_id = 0;
    };
    struct replaced_process {
        std::uint64_t process_id = 0;
        instant replaced_at{};
    };
    struct node_processes {
        std::uint32_t current = 0;
        /// Processes that were replaced within replaced_lifetime.
        std::vector<replaced_process> replaced;
    };
    struct pending_request {
        place_request request;
        instant repeated{};
        /// Engine that holds the prompt; empty when none does.
        backend_name preferred;
    };

    /// Waiting calls that can't use the slots that are free now.
    struct passed_calls {
        /// Calls that exclude the engines with room.
        std::set<call_key> excluding;
        /// Size of the smallest call that excludes no engine and finds no room; larger ones find
        /// none either.
        double too_large = std::numeric_limits<double>::infinity();
    };

    /// Number of the sender's process, registered if it is new; nothing for a replaced one.
    std::optional<std::uint32_t> process_of(const node_name& node, std::uint64_t process_id,
                                            instant now);
    void drop_process(std::uint32_t process);
    [[nodiscard]] static bool is_valid(const place_request& request);
    [[nodiscard]] static bool is_valid_weight(double weight);
    [[nodiscard]] waiting_call make_waiting_call(const call_key& key, const place_request& request,
                                                 instant arrived) const;
    [[nodiscard]] static placement_question question_of(const place_request& request);
    [[nodiscard]] addressed_answer make_answer(const call_key& key, place_outcome outcome) const;
    addressed_answer answer_known_call(const call_key& key, place_request&& request, instant now);
    /// Grants a new call a place, queues it or refuses it.
    void decide(const call_key& key, const place_request& request,
                std::vector<addressed_answer>& answers, instant now);
    /// Queues a call that has to wait, or refuses it.
    void enqueue(const waiting_call& call, pending_request&& pending,
                 std::vector<addressed_answer>& answers, instant now);
    addressed_answer refuse(const waiting_call& call, const queue_refusal& refusal);
    /// Registers the call at the engine. @param arrived when its first request arrived
    addressed_answer grant(const waiting_call& call, const place_request& request,
                           const placed_call& placed, place_reason reason, instant now);
    /// Place for a call that does not have to wait: at the engine that it prefers, or at another
    /// one while many slots are free.
    [[nodiscard]] std::optional<placed_call> place_at_once(const pending_request& pending,
                                                           instant now) const;
    /// Next waiting call that gets a free slot, and its place; null when none can. A call waits for
    /// the engine that it prefers, unless that is gone, or many slots are free elsewhere.
    const waiting_call* next_to_place(passed_calls& passed, std::optional<placed_call>& placed,
                                      instant now);
    /// Place for a waiting call; a call that can't use the free slots is added to `passed`.
    [[nodiscard]] std::optional<placed_call> place_waiting(const waiting_call& call,
                                                           passed_calls& passed, instant now) const;
    [[nodiscard]] pending_request make_pending(const place_request& request, instant now) const;
    /// Grants waiting calls the free slots.
    void grant_waiting(std::vector<addressed_answer>& answers, instant now);
    /// Grants calls that have waited their longest wait a place beyond the slots.
    void grant_overdue(std::vector<addressed_answer>& answers, instant now);
    void drop_unrepeated(instant now);
    /// Removes a call from the queue. @return its request; nothing when it does not wait
    std::optional<pending_request> take_waiting(const call_key& key);
    void finish(const call_key& key, const released_call& released, instant now);
    std::uint16_t route_index(const std::string& route);

    place_ledger ledger_;
    wait_queue queue_;
    /// Number of waiting calls by the engine that they should go to; without zeros.
    std::map<engine_position, std::uint32_t> waiting_for_;
    program_needs needs_;
    std::vector<forwarder_process> processes_;
    std::map<node_name, node_processes> nodes_;
    std::unordered_map<call_key, pending_request, call_key_hash> pending_;
    /// Names of routes; registered calls refer to them by position.
    std::vector<std::string> route_names_;
    dispatch_counters counters_;
    message_fault fault_ = message_fault::none;
    instant last_message_{};
    instant last_expiry_{};
    /// Moving average of the time from a grant to its release, in milliseconds; 0 while unknown.
    double call_ms_ = 0;
};

}  // namespace tallyfold::dispatch
