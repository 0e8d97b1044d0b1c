#pragma once
/// @file
/// Sweeps of experiments over strategies, loads and seeds, and their report.

#include <iosfwd>
#include <string>
#include <vector>

#include "sim/experiment.hpp"

namespace tallyfold::sim {

/// Results of all seeds of one strategy under one load.
struct sweep_point {
    scheduling::strategy strategy = scheduling::strategy::policy;
    std::size_t programs = 0;
    std::vector<experiment_result> results;

    /// Mean over the seeds of a figure that `read` takes from a result.
    template <class Read>
    [[nodiscard]] double mean(Read read) const {
        double total = 0;
        for (const experiment_result& result : results) {
            total += read(result);
        }
        return results.empty() ? 0.0 : total / static_cast<double>(results.size());
    }
};

/// Runs every strategy under every load on seeds from settings.seed on, on all processors.
std::vector<sweep_point> sweep(const experiment_settings& settings,
                               const std::vector<std::size_t>& loads, std::uint64_t seeds);

/// One self-contained HTML page with SVG plots.
std::string render_report(const experiment_settings& settings,
                          const std::vector<sweep_point>& points);
void print_table(std::ostream& output, const std::vector<sweep_point>& points);

}  // namespace tallyfold::sim
