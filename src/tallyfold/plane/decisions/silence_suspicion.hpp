#pragma once
/// @file
/// Silence suspicion: which back ends of one service keep calls without a byte of an answer for
/// much longer than is usual there. Pure; backend_registry owns one for each service and ejects
/// those that it names.
///
/// A back end that hangs closes no connection, so without this rule its calls would wait until
/// their deadlines, and further ones would follow. The limit grows with the usual time, so that
/// slowness that all back ends share suspects none. Measured (docs/DECISIONS-UNDER-LOAD.md,
/// ablation, six plays): worth without it -0.017 (-0.041 to +0.002).

#include <map>
#include <set>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/common/types.hpp"

namespace tallyfold::forwarding {

class silence_suspicion {
  public:
    /// A call was sent to the back end.
    void call_started(const backend_name& name, instant at);
    /// The first byte of the answer to a call sent at `started` has come.
    void first_byte_came(const backend_name& name, instant started, instant now);
    /// A call sent at `started` has ended without a byte of an answer.
    void call_ended(const backend_name& name, instant started);

    /// Back ends whose oldest call without a byte has waited for longer than limit().
    [[nodiscard]] std::vector<backend_name> silent(instant now) const;
    /// Time without a byte from which on a back end is suspected.
    [[nodiscard]] duration limit() const;

  private:
    /// When the calls that have got no byte yet were sent.
    std::map<backend_name, std::multiset<instant>> waiting_since_;
    /// Moving average of the time to a first byte over all back ends of the service.
    duration mean_first_byte_time_{};
};

}  // namespace tallyfold::forwarding
