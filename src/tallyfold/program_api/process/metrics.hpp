#pragma once
/// @file
/// Metrics in the Prometheus text format, from snapshots that the logic threads publish: their
/// values are read by another thread, the HTTP server's. The forwarding plane's programs have one
/// thread, and count into a registry directly: plane/process/instruments.

#include <mutex>
#include <string>
#include <vector>

namespace tallyfold::net {

struct metric_sample {
    std::string name;
    std::string help;
    double value = 0;
    /// A counter only grows; otherwise the sample is a gauge.
    bool counter = false;
};

/// Thread-safe.
class metrics_board {
  public:
    void publish(std::vector<metric_sample> samples);
    /// The text that GET /metrics answers with.
    [[nodiscard]] std::string render() const;

  private:
    mutable std::mutex mutex_;
    std::vector<metric_sample> samples_;
};

}  // namespace tallyfold::net
