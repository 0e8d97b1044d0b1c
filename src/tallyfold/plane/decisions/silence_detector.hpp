#pragma once
/// @file
/// Detects back ends of one service that keep calls waiting for the first byte much longer than
/// usual. No I/O; backend_registry owns one for each service and ejects the suspected back ends.
///
/// A back end that hangs does not close its connections, so without this check calls would wait
/// until their deadlines and more calls would be sent there. The limit follows the mean over the
/// service, so a slowdown of all back ends raises no suspicion.

#include <map>
#include <set>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::forwarding {

class silence_detector {
  public:
    /// Records that a call was sent to the back end.
    void call_started(const backend_name& name, instant at);
    /// Records the first byte of the answer to a call that was sent at `started`.
    void first_byte_received(const backend_name& name, instant started, instant now);
    /// Records that a call sent at `started` ended without a byte of an answer.
    void call_ended(const backend_name& name, instant started);

    /// Back ends whose oldest call without a byte has waited longer than limit().
    [[nodiscard]] std::vector<backend_name> overdue_backends(instant now) const;
    /// Time without a byte after which a back end is suspected.
    [[nodiscard]] duration limit() const;

  private:
    /// Send times of the calls without a byte of an answer.
    std::map<backend_name, std::multiset<instant>> waiting_since_;
    /// Moving average of the time to a first byte over all back ends of the service.
    duration mean_first_byte_time_{};
};

}  // namespace tallyfold::forwarding
