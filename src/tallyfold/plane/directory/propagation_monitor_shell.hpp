#pragma once
/// @file
/// Reports how far the newest configuration has propagated, as a metric and a log line. Owns the
/// version tracker. Runs on the loop thread.

#include "tallyfold/plane/directory/directory_metrics.hpp"
#include "tallyfold/plane/directory/messages.hpp"
#include "tallyfold/plane/directory/version_tracker.hpp"

namespace tallyfold::directory {

class propagation_monitor {
  public:
    explicit propagation_monitor(directory_metrics& metrics) : metrics_(metrics) {}

    /// Records a node's report; nodes that do not use the configuration are ignored.
    void on_report(const node_report& report, instant now);
    /// Records that this node has applied a version.
    void on_applied(routing::configuration_version version, instant now);
    /// Updates the metric, and logs a version once all nodes hold it.
    void check(instant now);

  private:
    directory_metrics& metrics_;
    version_tracker versions_;
};

}  // namespace tallyfold::directory
