#include "sim/experiment_report.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <thread>

namespace tallyfold::sim {

namespace {

constexpr std::array all_strategies{scheduling::strategy::policy, scheduling::strategy::round_robin,
                                    scheduling::strategy::least_outstanding,
                                    scheduling::strategy::affinity_fcfs};
constexpr std::array<const char*, 4> colours{"#0b6e4f", "#c1292e", "#235789", "#f1a208"};
constexpr int plot_width = 520;
constexpr int plot_height = 260;
constexpr int margin = 48;

using figure_reader = std::function<double(const sweep_point&)>;

double p99_of(const sweep_point& point) {
    return point.mean([](const experiment_result& result) { return result.all.p99_ms; });
}
double p50_of(const sweep_point& point) {
    return point.mean([](const experiment_result& result) { return result.all.p50_ms; });
}
double waste_of(const sweep_point& point) {
    return point.mean([](const experiment_result& result) { return result.wasted_ratio(); });
}
double first_token_of(const sweep_point& point) {
    return point.mean([](const experiment_result& result) { return result.first_token_p95_ms; });
}

double class_p99_of(const sweep_point& point, const std::string& name) {
    return point.mean([&](const experiment_result& result) {
        const auto found = result.classes.find(name);
        return found == result.classes.end() ? 0.0 : found->second.p99_ms;
    });
}

std::string svg_plot(const std::string& title, const std::vector<sweep_point>& points,
                     const figure_reader& read) {
    double most = 0;
    std::size_t min_load = SIZE_MAX;
    std::size_t max_load = 0;
    for (const sweep_point& point : points) {
        most = std::max(most, read(point));
        min_load = std::min(min_load, point.programs);
        max_load = std::max(max_load, point.programs);
    }
    const auto x_of = [&](std::size_t load) {
        const double share = max_load == min_load ? 0.5
                                                  : static_cast<double>(load - min_load) /
                                                        static_cast<double>(max_load - min_load);
        return margin + share * (plot_width - 2 * margin);
    };
    const auto y_of = [&](double value) {
        const double share = most > 0 ? value / most : 0;
        return plot_height - margin - share * (plot_height - 2 * margin);
    };
    std::ostringstream svg;
    svg << "<figure><figcaption>" << title << "</figcaption><svg width='" << plot_width
        << "' height='" << plot_height << "'>";
    svg << "<line x1='" << margin << "' y1='" << y_of(0) << "' x2='" << plot_width - margin
        << "' y2='" << y_of(0) << "' stroke='#888'/>";
    svg << "<text x='4' y='" << y_of(most) << "'>" << most << "</text><text x='4' y='" << y_of(0)
        << "'>0</text>";
    for (std::size_t index = 0; index < all_strategies.size(); ++index) {
        std::ostringstream path;
        for (const sweep_point& point : points) {
            if (point.strategy == all_strategies[index]) {
                path << x_of(point.programs) << ',' << y_of(read(point)) << ' ';
                svg << "<text x='" << x_of(point.programs) << "' y='" << plot_height - margin + 16
                    << "'>" << point.programs << "</text>";
            }
        }
        svg << "<polyline fill='none' stroke-width='2' stroke='" << colours[index] << "' points='"
            << path.str() << "'/>";
        svg << "<text x='" << margin + 8 << "' y='" << 14 + 14 * static_cast<int>(index)
            << "' fill='" << colours[index] << "'>" << strategy_name(all_strategies[index])
            << "</text>";
    }
    svg << "</svg></figure>\n";
    return svg.str();
}

std::vector<std::string> class_names(const std::vector<sweep_point>& points) {
    std::vector<std::string> names;
    if (!points.empty() && !points.front().results.empty()) {
        for (const auto& [name, summary] : points.front().results.front().classes) {
            names.push_back(name);
        }
    }
    return names;
}

}  // namespace

std::vector<sweep_point> sweep(const experiment_settings& settings,
                               const std::vector<std::size_t>& loads, std::uint64_t seeds) {
    std::vector<sweep_point> points;
    for (const scheduling::strategy strategy : all_strategies) {
        for (const std::size_t load : loads) {
            points.push_back({strategy, load, std::vector<experiment_result>(seeds)});
        }
    }
    std::atomic<std::size_t> next{0};
    const std::size_t runs = points.size() * seeds;
    const auto work = [&] {
        for (std::size_t run = next++; run < runs; run = next++) {
            sweep_point& point = points[run / seeds];
            experiment_settings one = settings;
            one.strategy = point.strategy;
            one.programs = point.programs;
            one.seed = settings.seed + run % seeds;
            point.results[run % seeds] = run_experiment(one);
        }
    };
    std::vector<std::thread> workers;
    for (unsigned count = 0; count < std::max(1U, std::thread::hardware_concurrency()); ++count) {
        workers.emplace_back(work);
    }
    for (std::thread& worker : workers) {
        worker.join();
    }
    return points;
}

void print_table(std::ostream& output, const std::vector<sweep_point>& points) {
    const std::vector<std::string> names = class_names(points);
    output << std::left << std::setw(20) << "strategy" << std::setw(10) << "programs"
           << std::setw(12) << "p50_ms" << std::setw(12) << "p99_ms" << std::setw(16)
           << "first_token_p95" << std::setw(10) << "waste";
    for (const std::string& name : names) {
        output << std::setw(16) << name + "_p99";
    }
    output << '\n' << std::fixed;
    for (const sweep_point& point : points) {
        output << std::setw(20) << strategy_name(point.strategy) << std::setw(10) << point.programs
               << std::setprecision(0) << std::setw(12) << p50_of(point) << std::setw(12)
               << p99_of(point) << std::setw(16) << first_token_of(point) << std::setprecision(4)
               << std::setw(10) << waste_of(point) << std::setprecision(0);
        for (const std::string& name : names) {
            output << std::setw(16) << class_p99_of(point, name);
        }
        output << '\n';
    }
}

std::string render_report(const experiment_settings& settings,
                          const std::vector<sweep_point>& points) {
    std::ostringstream page;
    page << "<!doctype html><html lang='en'><head><meta charset='utf-8'><title>tallyfold "
         << stand_ins::to_string(settings.profile)
         << "</title><style>body{font:13px sans-serif;margin:2em}svg text{font-size:11px}"
            "figure{display:inline-block;margin:0 2em 2em 0}pre{font-size:12px}</style></head>"
            "<body><h1>"
         << stand_ins::to_string(settings.profile) << ": load sweep</h1><p>Seeds from "
         << settings.seed << ", " << (points.empty() ? 0 : points.front().results.size())
         << " each; " << settings.engines << " engines; programs started within "
         << to_milliseconds(settings.span) / 1000 << " s. Means over the seeds.</p>\n";
    page << svg_plot("Program latency p99 (ms) by programs", points, p99_of);
    page << svg_plot("Program latency p50 (ms) by programs", points, p50_of);
    page << svg_plot("Wasted cache: tokens rebuilt over tokens prefilled", points, waste_of);
    page << svg_plot("First token p95 (ms)", points, first_token_of);
    for (const std::string& name : class_names(points)) {
        page << svg_plot(name + " p99 (ms)", points,
                         [name](const sweep_point& point) { return class_p99_of(point, name); });
    }
    std::ostringstream table;
    print_table(table, points);
    page << "<pre>" << table.str() << "</pre></body></html>\n";
    return page.str();
}

}  // namespace tallyfold::sim
