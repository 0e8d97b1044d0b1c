#pragma once
/// @file
/// Counters and histograms of a forwarder.

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

#include "tallyfold/common/time.hpp"

namespace tallyfold::forwarding {

class forwarder_metrics {
  public:
    explicit forwarder_metrics(prometheus::Registry& registry);

    /// @param outcome one of the words of the request_finished event
    void finished(const std::string& outcome, duration took);
    void first_byte(duration took) { first_byte_.Observe(seconds(took)); }
    void stored(duration took) { store_.Observe(seconds(took)); }
    void connected() { connections_.Increment(); }
    void attempt_failed(const std::string& reason);

  private:
    static double seconds(duration value) { return std::chrono::duration<double>(value).count(); }
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& failures_;
    prometheus::Counter& connections_;
    prometheus::Histogram& first_byte_;
    prometheus::Histogram& store_;
    prometheus::Histogram& total_;
};

}  // namespace tallyfold::forwarding
