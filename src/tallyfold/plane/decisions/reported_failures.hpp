#pragma once
/// @file
/// Failures that nodes report to each other: back ends that recently broke off a call before the
/// first byte of its answer, at any node. No I/O; backend_registry owns it, directory heartbeats
/// carry the reports.
///
/// A back end that restarts breaks the idle connections of every node, and a call that must run at
/// most once is lost on such a connection. Nodes therefore report the failure, close their idle
/// connections to the back end, and send it only repeatable calls for a while.

#include <cstdint>
#include <map>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"

namespace tallyfold::forwarding {

class reported_failures {
  public:
    /// Duration of the distrust after a first failure; covers a typical restart.
    static constexpr duration initial_distrust = std::chrono::seconds(2);
    /// Maximum number of doublings; each further failure within `failure_expiry` doubles the
    /// distrust, up to 8 s.
    static constexpr std::uint32_t max_doublings = 2;
    /// Time after which a failure no longer counts. Longer than the longest distrust, so that
    /// repeated failures double it.
    static constexpr duration failure_expiry = std::chrono::seconds(10);

    /// Records a failure at a back end, seen by this node or reported by another one.
    /// @return true if it is a new failure: idle connections from before it are stale, and a
    ///   failure seen by this node must be reported
    bool record(const backend_name& name, instant at);
    /// True while only repeatable calls should be sent to the back end.
    [[nodiscard]] bool is_distrusted(const backend_name& name, instant now) const;
    /// Removes expired failures.
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
