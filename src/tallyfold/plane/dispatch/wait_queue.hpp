#pragma once
/// @file
/// Queue of the calls that wait for a slot of one engine group: the order in which they get one,
/// the expected wait, and which calls are refused. Pure. Uses tenant_shares for the tenants' shares
/// and slot_rates for the rate at which slots free.
///
/// Load pattern: for seconds, more calls arrive than the group has slots. A queue in arrival order
/// delays all programs until most of them are late; here those that can still be in time go first,
/// tenants within their share are not delayed by one that exceeds its own, and a call that can't be
/// served in time learns it at once.

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/dispatch/messages.hpp"
#include "tallyfold/plane/dispatch/slot_rates.hpp"
#include "tallyfold/plane/dispatch/tenant_shares.hpp"

namespace tallyfold::dispatch {

/// Identifies a call among those of all forwarders' processes. The dispatcher numbers the
/// processes.
struct call_key {
    std::uint32_t process = 0;
    call_number call = 0;

    auto operator<=>(const call_key&) const = default;
};

struct call_key_hash {
    std::size_t operator()(const call_key& key) const {
        return std::hash<std::uint64_t>{}(key.call * 0x9E3779B97F4A7C15ULL + key.process);
    }
};

/// Position of an engine in the place ledger.
using engine_position = std::uint32_t;
constexpr engine_position no_engine = std::numeric_limits<engine_position>::max();

/// A call that asks for a slot, as far as the queue needs it.
struct waiting_call {
    call_key key;
    std::string tenant;
    /// Values that are not above 0 count as 1.
    double tenant_weight = 1;
    call_priority priority;
    /// True when an earlier turn of the program has run.
    bool program_running = false;
    /// True for a program that has used far more than is usual for its route.
    bool runaway = false;
    /// Work that is charged to the tenant's share, in tokens.
    double cost = 1;
    /// Expected number of calls of the program from this one on, itself included.
    double calls_left = 1;
    /// Position in the ledger of the engine that the call should go to; no_engine when there is
    /// none.
    engine_position preferred = no_engine;
    /// Time by which the call has to start for its program to be in time; in the past when late.
    instant latest_start{};
    /// Time at which the call is granted a slot in any case.
    instant wait_limit{};
    instant arrived{};
};

struct queue_settings {
    /// False: no call is refused (a measurement).
    bool refuses = true;
    /// False: tenants' shares are ignored (a measurement).
    bool shares = true;
};

struct queue_refusal {
    place_reason reason = place_reason::none;
    duration expected_wait{};
};

class wait_queue {
  public:
    /// Maximum number of waiting calls: seconds of work of a group even under the heaviest load.
    static constexpr std::size_t max_length = 4'096;
    /// Within a priority, one in this many calls taken is the one that has waited longest, so that
    /// no call is overtaken forever.
    static constexpr std::uint64_t oldest_first_interval = 8;

    explicit wait_queue(queue_settings settings) : settings_(settings) {}

    /// Records that a slot of the group became free.
    void record_freed(instant now) { rates_.record_freed(now); }
    /// Sets the rate at which slots free while all are taken, per second; 0 when unknown.
    void set_capacity(double slots_per_second) { rates_.set_capacity(slots_per_second); }
    /// Records that a call got a slot, whether or not it had waited; before its removal.
    void record_granted(const waiting_call& call, instant now);
    /// Queues a call, or refuses it.
    /// @return nothing when the call is queued
    std::optional<queue_refusal> push(const waiting_call& call, instant now);
    /// Visits calls in the order in which they get free slots, until `stop` returns true for one or
    /// `limit` calls were visited.
    /// @return the call at which it stopped, or null; it stays in the queue
    const waiting_call* visit(instant now, std::size_t limit,
                              const std::function<bool(const waiting_call&)>& stop);
    /// Call that gets the next free slot; it stays in the queue. Null when there is none.
    /// @param passed_over calls that can't use the free slots
    [[nodiscard]] const waiting_call* next(instant now,
                                           const std::vector<call_key>& passed_over = {});
    /// Removes a call that is granted a slot or withdrawn. @return false when it is not queued
    bool remove(const call_key& key);
    /// Calls whose wait limit has passed, in the order of their limits.
    [[nodiscard]] std::vector<call_key> overdue(instant now) const;
    /// Expected wait of a queued call, or of one that would be queued now, corrected by how long
    /// calls have waited relative to it; zero while the rate at which slots free is unknown.
    [[nodiscard]] duration expected_wait(const waiting_call& call, instant now) const;
    /// The wait that was expected for a queued call when it was queued.
    [[nodiscard]] duration expected_at_arrival(const call_key& key) const;
    [[nodiscard]] const waiting_call* find(const call_key& key) const;
    [[nodiscard]] std::size_t size() const { return calls_.size(); }
    /// Age of the call that has waited longest; zero when the queue is empty.
    [[nodiscard]] duration longest_wait(instant now) const;

  private:
    using ordered_calls = std::set<std::pair<instant, call_key>>;
    /// Waiting calls of one tenant and priority.
    struct tenant_queue {
        /// Calls that could be in time when they were last looked at, by latest start.
        ordered_calls in_time;
        /// Late calls, and below them those of runaway programs, by arrival.
        ordered_calls late;
        ordered_calls runaway;

        [[nodiscard]] bool empty() const {
            return in_time.empty() && late.empty() && runaway.empty();
        }
    };
    struct priority_queue {
        std::map<std::string, tenant_queue> tenants;
        ordered_calls by_arrival;
        std::uint64_t taken = 0;
    };
    /// Class of a call within its priority; lower goes first.
    struct rank {
        bool runaway = false;
        share_level level{};
        bool late = false;

        auto operator<=>(const rank&) const = default;
    };

    /// Position in one of the ordered sets of a tenant, for the merge of all of them.
    struct cursor {
        rank kind;
        ordered_calls::const_iterator position;
        ordered_calls::const_iterator end;

        bool operator>(const cursor& other) const {
            return std::tie(kind, *position) > std::tie(other.kind, *other.position);
        }
    };

    struct queued_call {
        waiting_call call;
        /// Expected wait when it was queued, without the correction.
        duration estimate{};
    };

    void move_late(tenant_queue& queue, instant now) const;
    /// Expected wait by the calls ahead alone.
    [[nodiscard]] duration estimate(const waiting_call& call, instant now) const;
    /// Factor by which calls have waited longer than estimated.
    [[nodiscard]] double wait_correction() const;
    const waiting_call* visit_priority(priority_queue& level, instant now, std::size_t limit,
                                       std::size_t& visited,
                                       const std::function<bool(const waiting_call&)>& stop);
    /// Cursors at the beginnings of the ordered sets of all tenants.
    [[nodiscard]] std::vector<cursor> begin_of(priority_queue& level, instant now) const;
    [[nodiscard]] share_level level_of(const std::string& tenant, instant now) const;
    /// Number of queued calls that would go before the call.
    [[nodiscard]] std::size_t calls_ahead_of(const waiting_call& call, instant now) const;
    [[nodiscard]] static std::size_t calls_before(const tenant_queue& queue,
                                                  const waiting_call& call, bool is_late);

    queue_settings settings_;
    slot_rates rates_;
    tenant_shares shares_;
    std::unordered_map<call_key, queued_call, call_key_hash> calls_;
    /// Moving averages over granted calls that were queued, in milliseconds.
    double waited_ms_ = 0;
    double estimated_ms_ = 0;
    /// By priority, highest first; empty ones are removed.
    std::map<call_priority, priority_queue> priorities_;
    ordered_calls by_limit_;
    ordered_calls by_arrival_;
};

}  // namespace tallyfold::dispatch
