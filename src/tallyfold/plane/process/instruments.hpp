#pragma once
/// @file
/// Helpers that register metrics without labels. The registry owns the metrics and has to outlive
/// the references.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <string>

namespace tallyfold::net {

inline prometheus::Counter& add_counter(prometheus::Registry& registry, const std::string& name,
                                        const std::string& help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

inline prometheus::Gauge& add_gauge(prometheus::Registry& registry, const std::string& name,
                                    const std::string& help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

inline prometheus::Histogram& add_histogram(
    prometheus::Registry& registry, const std::string& name, const std::string& help,
    const prometheus::Histogram::BucketBoundaries& boundaries) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({},
                                                                                     boundaries);
}

}  // namespace tallyfold::net
