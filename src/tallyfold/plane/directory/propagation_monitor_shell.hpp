#pragma once
/// @file
/// Tells operators how far the newest configuration has propagated, by a metric and a log line.
/// Owns the tracker of versions; belongs to the loop thread.

#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/directory/version_tracker.hpp"

namespace tallyfold::directory {

class propagation_monitor {
  public:
    explicit propagation_monitor(directory_metrics& metrics) : metrics_(metrics) {}

    /// A node reports; those that have no use for the configuration don't count.
    void on_report(const node_report& report, instant now);
    /// This node has applied a version.
    void on_applied(routing::configuration_version version, instant now);
    /// Brings the metric up to date, and logs a version that the last node holds by now.
    void check(instant now);

  private:
    directory_metrics& metrics_;
    version_tracker versions_;
};

}  // namespace tallyfold::directory
