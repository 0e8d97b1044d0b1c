#include "tallyfold/plane/directory/dispatch_metrics.hpp"

#include "tallyfold/plane/process/instruments.hpp"

namespace tallyfold::directory {

namespace {

/// In seconds. Callers leave after some seconds without an event.
const prometheus::Histogram::BucketBoundaries wait_buckets{0.001, 0.005, 0.02, 0.05, 0.1,
                                                           0.2,   0.4,   0.8,  1.6,  3.2};

const char* text_of(dispatch::place_outcome outcome) {
    switch (outcome) {
        case dispatch::place_outcome::granted:
            return "granted";
        case dispatch::place_outcome::waiting:
            return "waiting";
        case dispatch::place_outcome::refused:
            return "refused";
        case dispatch::place_outcome::unknown_service:
            break;
    }
    return "unknown_service";
}

}  // namespace

dispatch_metrics::dispatch_metrics(prometheus::Registry& registry)
    : places_(prometheus::BuildGauge()
                  .Name("tallyfold_directory_places")
                  .Help("Places of the engine groups that this node dispatches, by state")
                  .Register(registry)),
      decisions_(prometheus::BuildCounter()
                     .Name("tallyfold_directory_place_decisions_total")
                     .Help("Answers to requests for a place, by outcome and reason")
                     .Register(registry)),
      tenant_refusals_(prometheus::BuildCounter()
                           .Name("tallyfold_directory_tenant_refusals_total")
                           .Help("Calls that were refused a place, by tenant")
                           .Register(registry)),
      wait_(net::add_histogram(registry, "tallyfold_directory_place_wait_seconds",
                               "Time that granted calls waited for a place", wait_buckets)) {}

void dispatch_metrics::record(const dispatch::place_answer& answer) {
    decisions_
        .Add({{"outcome", text_of(answer.outcome)},
              {"reason", std::string(dispatch::text_of(answer.reason))}})
        .Increment();
    if (answer.outcome == dispatch::place_outcome::granted) {
        wait_.Observe(answer.waited_ms / 1'000.0);
    }
}

void dispatch_metrics::record_refused_tenant(const std::string& tenant) {
    const bool has_series = tenants_.contains(tenant) || tenants_.size() < max_tenants;
    if (has_series) {
        tenants_.insert(tenant);
    }
    tenant_refusals_.Add({{"tenant", has_series ? tenant : "other"}}).Increment();
}

void dispatch_metrics::set_room(const dispatch::engine_group& group,
                                const dispatch::group_room& room, std::size_t waiting) {
    const auto set = [&](const char* state, double value) {
        places_
            .Add({{"service", group.service},
                  {"group", std::to_string(group.index)},
                  {"state", state}})
            .Set(value);
    };
    set("running", room.running);
    set("slots", room.slots);
    set("waiting", static_cast<double>(waiting));
    set("tokens", static_cast<double>(room.tokens));
}

}  // namespace tallyfold::directory
