#pragma once
/// @file
/// Failures that nodes report to each other: which back ends have lately broken off a call before
/// any byte of its answer, here or at another node. Pure; backend_registry owns it, the directory's
/// heartbeats carry the reports.
///
/// A back end that restarts breaks the kept connections of every node, and without reports each
/// node would find out by a call of its own. A call that must run at most once is lost by that. So
/// nodes report such failures, close the connections that they keep to the back end, and for a
/// while send it only calls that may be repeated. Measured (docs/design/shifted-work.md, seed
/// 7001): worth of trouble-1 0.662 -> 0.695, of trouble-3 0.624 -> 0.645.

#include <cstdint>
#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"

namespace tallyfold::forwarding {

class reported_failures {
  public:
    /// Distrust after a first failure. Chosen, not measured: a back end that restarts is likely to
    /// listen again after some seconds.
    static constexpr duration first_distrust = std::chrono::seconds(2);
    /// Each further failure within `failure_expiry` doubles the distrust, so often at most: 8 s.
    /// Chosen, not measured.
    static constexpr std::uint32_t max_doublings = 2;
    /// Time after a failure from which on the next counts as a first. Chosen, not measured: above
    /// the longest distrust.
    static constexpr duration failure_expiry = std::chrono::seconds(10);

    /// Takes a failure at a back end, seen here or reported by another node.
    /// @return true when it isn't known yet: connections kept from before it are useless, and, if
    /// seen here, it is worth a report
    bool note(const backend_name& name, instant at);
    /// True while only calls that may be repeated should go to the back end.
    [[nodiscard]] bool is_distrusted(const backend_name& name, instant now) const;
    /// Drops what is too old to matter.
    void expire(instant now);

  private:
    struct entry {
        instant last_failure{};
        instant distrusted_until{};
        std::uint32_t doublings = 0;
    };
    std::map<backend_name, entry> entries_;
};

}  // namespace tallyfold::forwarding
