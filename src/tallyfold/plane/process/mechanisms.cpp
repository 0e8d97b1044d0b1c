#include "tallyfold/plane/process/mechanisms.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace tallyfold::settings {

namespace {

using named_mechanism = std::pair<std::string_view, mechanism>;

constexpr std::array<named_mechanism, 18> all_mechanisms{{
    {"prompt_holders", mechanism::prompt_holders},
    {"program_home", mechanism::program_affinity},
    {"bounded_running", mechanism::bounded_running},
    {"asking_again", mechanism::back_off},
    {"continuation", mechanism::stream_resume},
    {"urgency", mechanism::urgency},
    {"silence", mechanism::silence},
    {"ejection", mechanism::ejection},
    {"early_wait", mechanism::startup_wait},
    {"backend_subset", mechanism::backend_subset},
    {"spare_permits", mechanism::spare_permits},
    {"permit_wait", mechanism::permit_wait},
    {"break_evidence", mechanism::backend_distrust},
    {"object_home", mechanism::object_affinity},
    {"dispatch", mechanism::dispatch},
    {"dispatch_refusal", mechanism::dispatch_refusal},
    {"dispatch_shares", mechanism::dispatch_shares},
    {"engine_speed", mechanism::engine_speed},
}};

const named_mechanism* find(std::string_view name) {
    const auto* found = std::find_if(all_mechanisms.begin(), all_mechanisms.end(),
                                     [&](const auto& known) { return known.first == name; });
    return found == all_mechanisms.end() ? nullptr : found;
}

}  // namespace

bool is_mechanism(std::string_view name) {
    return find(name) != nullptr;
}

void disabled_mechanisms::add(std::string_view name) {
    if (const named_mechanism* known = find(name)) {
        disabled_.insert(known->second);
    }
}

}  // namespace tallyfold::settings
