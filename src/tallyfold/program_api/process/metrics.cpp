#include "tallyfold/program_api/process/metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace tallyfold::net {

void metrics_board::publish(std::vector<metric_sample> samples) {
    const std::lock_guard lock(mutex_);
    samples_ = std::move(samples);
}

std::string metrics_board::render() const {
    std::vector<prometheus::MetricFamily> families;
    {
        const std::lock_guard lock(mutex_);
        for (const metric_sample& sample : samples_) {
            prometheus::MetricFamily family;
            family.name = "tallyfold_" + sample.name;
            family.help = sample.help;
            family.type =
                sample.counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
            prometheus::ClientMetric metric;
            if (sample.counter) {
                metric.counter.value = sample.value;
            } else {
                metric.gauge.value = sample.value;
            }
            family.metric.push_back(metric);
            families.push_back(std::move(family));
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

}  // namespace tallyfold::net
