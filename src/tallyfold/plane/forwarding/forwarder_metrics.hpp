#pragma once
/// @file
/// Counters and histograms of a forwarder; docs/METRICS.md explains each.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/tenants/permit_decision.hpp"

namespace tallyfold::forwarding {

class forwarder_metrics {
  public:
    explicit forwarder_metrics(prometheus::Registry& registry);

    /// @param outcome one of the words of the request_finished event
    void finished(const std::string& outcome, duration took);
    /// From a request's end to the first byte of its answer.
    void first_byte(duration took) { first_byte_.Observe(seconds(took)); }
    /// What the stores took to begin or settle a turn.
    void stored(duration took) { store_.Observe(seconds(took)); }
    /// @param slowdown times slower than idle that the engines of the slowest service work
    /// @param waiting calls in all admission queues
    void paced(double slowdown, std::size_t waiting) {
        slowdown_.Set(slowdown);
        waiting_.Set(static_cast<double>(waiting));
    }
    /// A call has waited in the admission queue.
    void waited(duration took) { wait_.Observe(seconds(took)); }
    /// A new connection to a back end.
    void connected() { connections_.Increment(); }
    /// A turn goes on with a line that another group of stores keeps.
    void adopted() { adopted_.Increment(); }
    /// @param reason as the attempt_failed event names it
    void attempt_failed(const std::string& reason);
    /// A call asked for one of its tenant's permits.
    void permitted(const tenants::permit_decision& decision);

  private:
    static double seconds(duration value) { return std::chrono::duration<double>(value).count(); }
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& failures_;
    prometheus::Family<prometheus::Counter>& permits_;
    prometheus::Counter& connections_;
    prometheus::Counter& adopted_;
    prometheus::Histogram& first_byte_;
    prometheus::Histogram& store_;
    prometheus::Histogram& total_;
    prometheus::Histogram& wait_;
    prometheus::Gauge& slowdown_;
    prometheus::Gauge& waiting_;
};

}  // namespace tallyfold::forwarding
