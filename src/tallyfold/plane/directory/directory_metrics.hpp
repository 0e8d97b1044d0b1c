#pragma once
/// @file
/// Metrics of the directory program, except those of operators' calls (admin_api). Refers to the
/// process's registry, which must outlive it.

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/process/instruments.hpp"

namespace tallyfold::directory {

class directory_metrics {
  public:
    explicit directory_metrics(prometheus::Registry& registry)
        : writes(net::add_counter(registry, "tallyfold_directory_writes_total",
                                  "Synced writes of the directory's log")),
          parts_sent(net::add_counter(registry, "tallyfold_directory_configuration_parts_total",
                                      "Parts of configurations that were sent to nodes")),
          part_bytes_sent(net::add_counter(registry,
                                           "tallyfold_directory_configuration_part_bytes_total",
                                           "Bytes of those parts")),
          list_parts_sent(net::add_counter(registry, "tallyfold_directory_backend_list_parts_total",
                                           "Parts of the list of back ends that were sent")),
          list_part_bytes_sent(net::add_counter(registry,
                                                "tallyfold_directory_backend_list_part_bytes_total",
                                                "Bytes of those parts")),
          proofs_given(
              net::add_counter(registry, "tallyfold_directory_configuration_proofs_total",
                               "Questions answered with proof that nothing newer was in force")),
          version(net::add_gauge(registry, "tallyfold_directory_configuration_version",
                                 "Version of the configuration that this node has applied")),
          nodes_behind(net::add_gauge(registry, "tallyfold_directory_nodes_behind",
                                      "Nodes that last reported an older configuration")),
          nodes_in_first_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_first_format",
                             "Nodes heard of lately that know the first form of messages alone")),
          nodes_in_second_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_second_format",
                             "Nodes heard of lately that know the second form of messages")),
          nodes_in_third_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_third_format",
                             "Nodes heard of lately that know the third form of messages")),
          nodes_in_fourth_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_fourth_format",
                             "Nodes heard of lately that know the fourth form of messages")),
          nodes_in_fifth_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_fifth_format",
                             "Nodes heard of lately that know the fifth form of messages")),
          nodes_in_sixth_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_sixth_format",
                             "Nodes heard of lately that know the sixth form of messages")),
          nodes_in_seventh_format(
              net::add_gauge(registry, "tallyfold_directory_nodes_in_seventh_format",
                             "Nodes heard of lately that know the seventh form of messages")),
          crash_contents(net::add_gauge(registry, "tallyfold_directory_crash_contents",
                                        "Contents of requests under which back ends ended lately")),
          unrepaired_store_groups(
              net::add_gauge(registry, "tallyfold_directory_unrepaired_store_groups",
                             "Store groups with missing, silent or retired members for which the "
                             "leader finds no live store")),
          is_halted(net::add_gauge(registry, "tallyfold_directory_stands_still",
                                   "1 while this node can't read what its group committed")) {}

    /// Updates the gauges from the core's current state.
    void observe(const directory_core& core, instant now) {
        using protocol::format_version;
        nodes_in_first_format.Set(
            static_cast<double>(core.formats().count(format_version::v1, now)));
        nodes_in_second_format.Set(
            static_cast<double>(core.formats().count(format_version::v2, now)));
        nodes_in_third_format.Set(
            static_cast<double>(core.formats().count(format_version::v3, now)));
        nodes_in_fourth_format.Set(
            static_cast<double>(core.formats().count(format_version::v4, now)));
        nodes_in_fifth_format.Set(
            static_cast<double>(core.formats().count(format_version::v5, now)));
        nodes_in_sixth_format.Set(
            static_cast<double>(core.formats().count(format_version::v6, now)));
        nodes_in_seventh_format.Set(
            static_cast<double>(core.formats().count(format_version::v7, now)));
        unrepaired_store_groups.Set(static_cast<double>(core.unrepaired_group_count()));
        is_halted.Set(core.is_halted() ? 1 : 0);
    }

    prometheus::Counter& writes;
    prometheus::Counter& parts_sent;
    prometheus::Counter& part_bytes_sent;
    prometheus::Counter& list_parts_sent;
    prometheus::Counter& list_part_bytes_sent;
    prometheus::Counter& proofs_given;
    prometheus::Gauge& version;
    prometheus::Gauge& nodes_behind;
    prometheus::Gauge& nodes_in_first_format;
    prometheus::Gauge& nodes_in_second_format;
    prometheus::Gauge& nodes_in_third_format;
    prometheus::Gauge& nodes_in_fourth_format;
    prometheus::Gauge& nodes_in_fifth_format;
    prometheus::Gauge& nodes_in_sixth_format;
    prometheus::Gauge& nodes_in_seventh_format;
    prometheus::Gauge& crash_contents;
    prometheus::Gauge& unrepaired_store_groups;
    prometheus::Gauge& is_halted;
};

}  // namespace tallyfold::directory
