#pragma once
/// @file
/// Metrics in the Prometheus text format. The logic thread publishes snapshots, and the HTTP
/// server's thread reads them. The forwarding plane's programs have one thread and update a
/// registry directly: plane/process/instruments.

#include <mutex>
#include <string>
#include <vector>

namespace tallyfold::net {

struct metric_sample {
    std::string name;
    std::string help;
    double value = 0;
    /// True for a counter, which only grows; false for a gauge.
    bool counter = false;
};

/// The latest snapshot of all metrics. Thread-safe.
class metrics_board {
  public:
    void publish(std::vector<metric_sample> samples);
    /// Body of the response to GET /metrics.
    [[nodiscard]] std::string render() const;

  private:
    mutable std::mutex mutex_;
    std::vector<metric_sample> samples_;
};

}  // namespace tallyfold::net
