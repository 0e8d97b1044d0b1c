#include "stand_ins/deployment_defaults.hpp"

namespace tallyfold::stand_ins {

namespace {

configuration::class_settings class_with(std::int32_t priority, const char* policy) {
    configuration::class_settings settings;
    settings.priority = priority;
    settings.budget_limit = 10'000'000;
    settings.policy = policy;
    settings.model = "default";
    return settings;
}

}  // namespace

std::map<std::string, configuration::class_settings> default_classes(deployment profile) {
    if (profile == deployment::huayin) {
        return {{"licensing", class_with(10, "huayin")},
                {"assistant", class_with(5, "huayin")},
                {"draft", class_with(0, "huayin")}};
    }
    return {{"coach", class_with(5, "hobart")},
            {"trade", class_with(5, "hobart")},
            {"lookup", class_with(8, "hobart")}};
}

}  // namespace tallyfold::stand_ins
