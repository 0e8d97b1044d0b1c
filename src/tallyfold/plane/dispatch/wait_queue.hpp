#pragma once
/// @file
/// Queue of the calls that wait for a slot of one engine group: the order in which they get one,
/// the expected wait, and which calls are refused. Pure.
///
/// Load pattern: for seconds, more calls arrive than the group has slots. A queue in arrival order
/// delays all programs until most of them are late; here those that can still be in time go first,
/// tenants within their share are not delayed by one that exceeds its own, and a call that can't be
/// served in time learns it at once.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/dispatch/messages.hpp"

namespace tallyfold::dispatch {

/// Identifies a call among those of all forwarders.
struct call_key {
    node_name node;
    std::uint64_t process_id = 0;
    call_number call = 0;

    auto operator<=>(const call_key&) const = default;
};

/// A call that asks for a slot, as far as the queue needs it.
struct waiting_call {
    call_key key;
    std::string tenant;
    /// Above 0; other values count as 1.
    double tenant_weight = 1;
    std::int32_t tenant_priority = 0;
    std::int32_t route_priority = 0;
    bool program_running = false;
    /// True for a program that has used far more than is usual for its route.
    bool runaway = false;
    /// Work that the call is charged to its tenant's share with, in tokens.
    double cost = 1;
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
    /// Maximum number of waiting calls.
    static constexpr std::size_t max_length = 4'096;

    explicit wait_queue(queue_settings settings) : settings_(settings) {}

    /// Records that a slot of the group became free, for the rate at which slots free.
    void record_freed(instant now);
    /// Records that a call got a slot, whether or not it had waited.
    void record_granted(const waiting_call& call, instant now);
    /// Queues a call, or refuses it.
    /// @return nothing when the call is queued
    std::optional<queue_refusal> push(const waiting_call& call, instant now);
    /// Call that gets the next free slot; it stays in the queue. Null when the queue is empty.
    [[nodiscard]] const waiting_call* next(instant now) const;
    /// Removes a call that is granted a slot or withdrawn. @return false when it is not queued
    bool remove(const call_key& key);
    /// Calls whose wait limit has passed.
    [[nodiscard]] std::vector<call_key> overdue(instant now) const;
    /// Expected wait of a queued call, or of one that would be queued now.
    [[nodiscard]] duration expected_wait(const waiting_call& call, instant now) const;
    [[nodiscard]] const waiting_call* find(const call_key& key) const;
    [[nodiscard]] std::size_t size() const;
    /// Age of the call that has waited longest; zero when the queue is empty.
    [[nodiscard]] duration longest_wait(instant now) const;

  private:
    queue_settings settings_;
};

}  // namespace tallyfold::dispatch
