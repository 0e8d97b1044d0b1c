#include "stand_ins/program_script.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::stand_ins {

namespace {

/// Parameters of one program class of a deployment.
struct class_profile {
    const char* name;
    /// Fraction of the deployment's programs.
    double share;
    int min_turns;
    int max_turns;
    /// Range of the number of context tokens before the first call; later calls reuse this prefix.
    std::int64_t min_context;
    std::int64_t max_context;
    std::int64_t min_input;
    std::int64_t max_input;
    std::int64_t min_output;
    std::int64_t max_output;
    /// Mean pause before a call; pauses are exponentially distributed.
    std::int64_t mean_pause_ms;
    double tool_chance;
    double spawn_chance;
    /// Operation of the final request, which is not idempotent.
    const char* final_request;
    /// The program makes app requests only, no model calls.
    bool plain;
};

constexpr class_profile huayin_classes[] = {
    {"licensing", 0.25, 6, 14, 1500, 4000, 40, 250, 60, 220, 2500, 0.35, 0.10, "licence_quote",
     false},
    {"assistant", 0.45, 3, 8, 800, 2500, 20, 120, 40, 160, 3500, 0.15, 0.0, nullptr, false},
    {"draft", 0.30, 2, 6, 500, 3000, 100, 900, 150, 500, 1200, 0.25, 0.25, nullptr, false},
};

constexpr class_profile hobart_classes[] = {
    {"coach", 0.50, 3, 8, 6000, 18000, 20, 150, 50, 180, 6000, 0.20, 0.0, nullptr, false},
    {"trade", 0.25, 5, 10, 3000, 9000, 40, 250, 80, 220, 3000, 0.30, 0.20, "waiver_claim", false},
    {"lookup", 0.25, 1, 4, 0, 0, 0, 0, 0, 0, 800, 0.0, 0.0, nullptr, true},
};

constexpr token_count budget_margin = 4;
constexpr int endless_turns = 600;
constexpr double max_pause_factor = 4.0;

class workload_generator {
  public:
    explicit workload_generator(const workload_settings& settings)
        : settings_(settings), random_(settings.seed) {}

    std::vector<program_script> make() {
        std::vector<program_script> programs;
        for (std::size_t index = 0; index < settings_.programs; ++index) {
            programs.push_back(make_program(pick_class(), index));
            programs.back().start = start_time(index);
        }
        for (std::size_t index = 0; index < settings_.endless_programs; ++index) {
            programs.push_back(make_runaway_program(index));
        }
        std::sort(programs.begin(), programs.end(),
                  [](const auto& left, const auto& right) { return left.start < right.start; });
        return programs;
    }

  private:
    const class_profile& pick_class() {
        const bool huayin = settings_.profile == deployment::huayin;
        const auto* classes = huayin ? huayin_classes : hobart_classes;
        double draw = random_.unit();
        std::size_t index = 0;
        while (index < 2 && draw >= classes[index].share) {
            draw -= classes[index].share;
            ++index;
        }
        return classes[index];
    }

    /// A program that repeats the same app request.
    program_script make_runaway_program(std::size_t index) {
        program_script script;
        script.tenant = tenant_of(index);
        script.program_class = pick_class().name;
        script.budget = 10'000;
        for (int turn = 0; turn < endless_turns; ++turn) {
            script_step step;
            step.kind = step_kind::app;
            step.operation = "lookup";
            step.argument = "again";
            script.steps.push_back(std::move(step));
        }
        return script;
    }

    duration start_time(std::size_t /*index*/) {
        const double span = static_cast<double>(settings_.span.count());
        double position = random_.unit();
        if (settings_.profile == deployment::hobart) {
            // Arrivals become denser towards the end of the span.
            position = std::sqrt(position);
        }
        return duration(static_cast<std::int64_t>(span * position));
    }

    std::int64_t scaled(std::int64_t low, std::int64_t high) {
        const double drawn = static_cast<double>(random_.between(low, high));
        return std::max<std::int64_t>(1, std::llround(drawn * settings_.token_scale));
    }

    duration pause_of(const class_profile& profile) {
        const double mean = static_cast<double>(profile.mean_pause_ms) * settings_.pause_scale;
        const double drawn = -std::log(1.0 - random_.unit()) * mean;
        const double bounded = std::min(drawn, mean * max_pause_factor);
        return std::chrono::milliseconds(static_cast<std::int64_t>(bounded));
    }

    journal::message user_message(const std::string& topic, std::int64_t tokens) {
        return {"user", topic + " " + std::to_string(random_.next() % 1'000'000),
                static_cast<token_count>(tokens)};
    }

    script_step model_step(const class_profile& profile, bool first) {
        script_step step;
        step.kind = step_kind::model;
        step.pause = first ? duration{} : pause_of(profile);
        if (first) {
            step.messages.push_back(
                {"system",
                 std::string("context of ") + profile.name + " " +
                     std::to_string(random_.next() % 1'000'000),
                 static_cast<token_count>(scaled(profile.min_context, profile.max_context))});
        }
        step.messages.push_back(
            user_message(profile.name, scaled(profile.min_input, profile.max_input)));
        step.max_tokens = static_cast<token_count>(scaled(profile.min_output, profile.max_output));
        return step;
    }

    script_step service_step(const class_profile& profile, step_kind kind,
                             const std::string& operation, bool repeatable) {
        script_step step;
        step.kind = kind;
        step.pause = pause_of(profile);
        step.operation = operation;
        step.argument = "item " + std::to_string(random_.next() % 1'000'000);
        step.repeatable = repeatable;
        return step;
    }

    script_step spawn_step(const class_profile& profile, std::size_t index) {
        script_step step;
        step.kind = step_kind::spawn;
        const std::int64_t count = random_.between(1, 2);
        for (std::int64_t child = 0; child < count; ++child) {
            program_script script;
            script.tenant = tenant_of(index);
            script.program_class = profile.name;
            const std::int64_t calls = random_.between(1, 2);
            for (std::int64_t call = 0; call < calls; ++call) {
                script_step call_step = model_step(profile, false);
                call_step.pause = duration{};
                script.steps.push_back(std::move(call_step));
            }
            step.children.push_back(std::move(script));
        }
        return step;
    }

    std::string tenant_of(std::size_t index) const {
        const auto tenants = tenants_of(settings_.profile);
        return tenants[index % tenants.size()];
    }

    /// Number of tokens that the script uses without retries.
    static token_count cost_of(const program_script& script) {
        token_count history = 0;
        token_count total = 0;
        for (const script_step& step : script.steps) {
            for (const journal::message& message : step.messages) {
                history += message.tokens;
            }
            if (step.kind == step_kind::model) {
                history += step.max_tokens;
                total += history;
            }
            for (const program_script& child : step.children) {
                total += cost_of(child);
            }
        }
        return total;
    }

    program_script make_program(const class_profile& profile, std::size_t index) {
        program_script script;
        script.tenant = tenant_of(index);
        script.program_class = profile.name;
        const std::int64_t turns = random_.between(profile.min_turns, profile.max_turns);
        for (std::int64_t turn = 0; turn < turns; ++turn) {
            if (profile.plain) {
                script.steps.push_back(service_step(profile, step_kind::app, "lookup", true));
                continue;
            }
            script.steps.push_back(model_step(profile, turn == 0));
            if (random_.chance(profile.tool_chance)) {
                script.steps.push_back(service_step(profile, step_kind::tool, "search", true));
            }
            if (random_.chance(profile.spawn_chance)) {
                script.steps.push_back(spawn_step(profile, index));
            }
        }
        if (profile.final_request != nullptr) {
            script.steps.push_back(
                service_step(profile, step_kind::app, profile.final_request, false));
        }
        script.budget = cost_of(script) * budget_margin + 1000;
        script.abandoned = random_.chance(settings_.abandoned_share);
        return script;
    }

    workload_settings settings_;
    random_source random_;
};

}  // namespace

std::optional<deployment> parse_deployment(std::string_view name) {
    if (name == "huayin") {
        return deployment::huayin;
    }
    if (name == "hobart") {
        return deployment::hobart;
    }
    return std::nullopt;
}

std::vector<std::string> tenants_of(deployment profile) {
    if (profile == deployment::huayin) {
        return {"adspark", "lotus-drama", "pixelgate", "harbour-ads"};
    }
    return {"league-app", "league-web", "partner-desk"};
}

std::vector<program_script> make_workload(const workload_settings& settings) {
    return workload_generator(settings).make();
}

}  // namespace tallyfold::stand_ins
