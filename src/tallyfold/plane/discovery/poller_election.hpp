#pragma once
/// @file
/// Decides which node polls the list of back ends, and when. Pure; directory nodes and forwarders
/// call it before each poll.
///
/// Requests of the list are billed, and all nodes together share a rate limit, so one node polls:
/// - The directory's leader polls; the other nodes receive changes from it.
/// - When their list becomes too old, because the leader has failed or cannot reach the list, the
///   other directory nodes take over in order of rank.
/// - Forwarders come last, each at its share of a rate for all of them together. A fleet whose list
///   takes many requests then keeps an old list instead of exceeding the rate limit.

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::discovery {

struct poller_election {
    /// True when this node is the directory's leader.
    bool leads = false;
    /// True when this node holds a list.
    bool known = false;
    /// Time since some node polled the list that this node holds; without a list, time since this
    /// node started.
    duration age{};
    /// Rank of this node among the directory nodes that do not lead, from 0.
    std::size_t rank = 0;
    /// Number of requests that a poll of the list takes.
    std::size_t pages = 0;

    /// Age of the list at which the node of rank 0 polls. Above the maximum age at other nodes of a
    /// short list that is polled every second (1.3 s).
    static constexpr duration first_successor_age = std::chrono::milliseconds(1'500);
    /// Additional age for each page: time to request it.
    static constexpr duration page_allowance = std::chrono::milliseconds(10);
    /// Additional age for each further rank, long enough to receive the list polled by the previous
    /// rank.
    static constexpr duration successor_age_step = std::chrono::milliseconds(150);
    /// Time for which a node that has just started without a list waits for each rank before it.
    /// After a loss of all power, nodes that all polled at once would exceed the rate limit.
    static constexpr duration start_step = std::chrono::milliseconds(300);

    /// True when this node should poll now.
    [[nodiscard]] bool should_poll() const {
        const auto place = static_cast<std::int64_t>(rank);
        if (leads) {
            return true;
        }
        if (!known) {
            return age >= start_step * place;
        }
        const duration walk = page_allowance * static_cast<std::int64_t>(pages);
        return age > first_successor_age + walk + successor_age_step * place;
    }
};

/// Age of the list at which a forwarder polls it itself; later than seven directory nodes in order
/// of rank.
constexpr duration forwarder_poll_age = std::chrono::milliseconds(2'400);

/// Rate at which all forwarders together may request pages of the list; below the rate limits of
/// list services.
constexpr double forwarder_requests_per_second = 20;

/// Decides when a forwarder polls the list itself.
struct forwarder_polling {
    /// When some node last polled the list that this forwarder holds.
    instant seen{};
    /// When this process started, and when it last polled. A forwarder that has just started first
    /// waits to receive the list.
    instant started{};
    instant last_poll{};
    /// Number of active nodes, and of requests that a poll takes.
    std::size_t nodes = 0;
    std::size_t pages = 0;
    /// Place of this forwarder's poll within the interval, 0 to 1; differs between forwarders.
    double phase = 0;

    /// Time between polls of one forwarder at which all nodes together keep to the rate.
    [[nodiscard]] duration interval() const {
        const double requests = static_cast<double>(nodes) * static_cast<double>(pages);
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(requests / forwarder_requests_per_second));
    }

    [[nodiscard]] bool should_poll(instant now) const {
        const instant outdated = std::max(seen, started) + forwarder_poll_age;
        const auto offset = std::chrono::duration_cast<duration>(interval() * phase);
        return now > outdated + offset && now >= last_poll + interval();
    }
};

}  // namespace tallyfold::discovery
