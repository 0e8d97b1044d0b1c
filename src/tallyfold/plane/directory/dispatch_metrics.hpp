#pragma once
/// @file
/// Metrics of the dispatchers of a directory node. Refers to the process's registry, which must
/// outlive it.

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <set>
#include <string>

#include "tallyfold/plane/dispatch/dispatcher.hpp"
#include "tallyfold/plane/dispatch/engine_groups.hpp"

namespace tallyfold::directory {

class dispatch_metrics {
  public:
    explicit dispatch_metrics(prometheus::Registry& registry);

    /// Counts an answer that decides on a call, and its wait.
    void record(const dispatch::place_answer& answer);
    /// Counts a refusal of a tenant's call.
    void record_refused_tenant(const std::string& tenant);
    void set_room(const dispatch::engine_group& group, const dispatch::group_room& room,
                  std::size_t waiting);

  private:
    /// Maximum number of tenants with a time series of their own.
    static constexpr std::size_t max_tenants = 32;

    prometheus::Family<prometheus::Gauge>& places_;
    prometheus::Family<prometheus::Counter>& decisions_;
    prometheus::Family<prometheus::Counter>& tenant_refusals_;
    prometheus::Histogram& wait_;
    std::set<std::string> tenants_;
};

}  // namespace tallyfold::directory
