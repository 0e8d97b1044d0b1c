#include "tallyfold/plane/decisions/backend_selection.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/scheduling/rendezvous.hpp"

namespace tallyfold::forwarding {

using scheduling::backend_state;

namespace {

/// Number of own calls at the affinity target of an object at which the next back end in the order
/// of the object is selected. Beyond it, waiting is likely to cost more than loading the object
/// elsewhere.
constexpr std::uint32_t max_calls_at_affinity_target = 2;

/// First back end in the order of the object (rendezvous hashing, least weight first) with fewer
/// own calls than max_calls_at_affinity_target; the very first if there is none.
const backend_state& affinity_target_of(const std::string& object,
                                        const std::vector<const backend_state*>& options) {
    const std::uint64_t key = stable_hash(object);
    // Back ends without capacity come after all others.
    const auto rank = [&](const backend_state* backend) {
        const bool has_capacity = backend->own_outstanding < max_calls_at_affinity_target;
        return std::pair(!has_capacity, scheduling::rendezvous_weight(key, backend->name_hash));
    };
    const backend_state* first = options.front();
    auto first_rank = rank(first);
    for (const backend_state* backend : options) {
        const auto backend_rank = rank(backend);
        if (backend_rank < first_rank) {
            first = backend;
            first_rank = backend_rank;
        }
    }
    return *first;
}

/// Less loaded of two random candidates (power of two choices). If each node selected the least
/// loaded back end, nodes with the same outdated load reports would select the same one.
const backend_state& less_loaded_of_two(const std::vector<const backend_state*>& options,
                                        random_source& random) {
    const backend_state* first = options[random.below(options.size())];
    const backend_state* second = options[random.below(options.size())];
    return second->outstanding() < first->outstanding() ? *second : *first;
}

/// Number of prompt tokens that the affinity target of the program is assumed to have cached: an
/// earlier turn left all but the newest part of the prompt there.
token_count earlier_turn_tokens(const std::vector<scheduling::prefix_point>* prompt) {
    const bool has_earlier_turn = prompt != nullptr && prompt->size() > 1;
    return has_earlier_turn ? (*prompt)[prompt->size() - 2].tokens : 0;
}

}  // namespace

chosen_backend chosen_from(const backend_state& backend, token_count cached_tokens,
                           selection_rule rule, backend_eligibility accepted) {
    const scheduling::backend_member& member = backend.member;
    return {member.name, member.address, cached_tokens, rule, accepted, member.variant};
}

std::optional<chosen_backend> backend_selector::select(const selection_request& question,
                                                       const selection_state& state,
                                                       random_source& random, instant now) {
    if (question.version) {
        return select_of_version(question, state, random, now);
    }
    const bool first_send = question.tried.empty();
    if (question.is_engine && first_send) {
        if (auto placed = place(question, state, now)) {
            return placed;
        }
    }
    const auto [options, accepted] = candidates(question, state, now);
    if (options.empty()) {
        return std::nullopt;
    }
    const bool by_object = uses_object_affinity(question);
    const backend_state& chosen = by_object ? affinity_target_of(question.object, options)
                                            : less_loaded_of_two(options, random);
    const selection_rule rule =
        by_object ? selection_rule::affinity_target : selection_rule::less_loaded_of_two;
    return chosen_from(chosen, 0, rule, accepted);
}

std::optional<chosen_backend> backend_selector::select_of_version(const selection_request& question,
                                                                  const selection_state& state,
                                                                  random_source& random,
                                                                  instant now) {
    backend_list options;
    auto accepted = backend_eligibility::excluded;
    for (const auto& [name, backend] : state.pool.all()) {
        const bool matches =
            !question.version->empty() && backend.member.variant == *question.version;
        if (!matches || question.tried.contains(name)) {
            continue;
        }
        const auto eligibility = eligibility_of(backend, state.pool, state.reported, now);
        const bool usable = eligibility != backend_eligibility::excluded ||
                            may_continue_while_leaving(backend, now);
        if (usable && eligibility < accepted) {
            accepted = eligibility;
            options.clear();
        }
        if (usable && eligibility == accepted) {
            options.push_back(&backend);
        }
    }
    if (options.empty()) {
        return std::nullopt;
    }
    return chosen_from(less_loaded_of_two(options, random), 0, selection_rule::required_version,
                       accepted);
}

std::optional<chosen_backend> backend_selector::place(const selection_request& question,
                                                      const selection_state& state, instant now) {
    scheduling::placement_request request;
    request.zone = zone_;
    request.prompt = question.prompt;
    request.prompt_tokens = question.prompt_tokens;
    request.call = question.call;
    request.pace = &state.pace;
    if (!question.program.empty() && !is_disabled(settings::mechanism::program_affinity)) {
        request.affinity_target = scheduling::affinity_target(question.program, state.pool, now);
        request.affinity_tokens = earlier_turn_tokens(question.prompt);
    }
    backend_list sample;
    if (!is_disabled(settings::mechanism::backend_subset)) {
        sample = state.subset.usable(state.pool, [&](const backend_state& engine) {
            return state.pool.available(engine, now);
        });
        request.sample = &sample;
    }
    const auto choice = placement_.choose(request, state.pool, state.cache, question.ranking, now);
    if (!choice) {
        return std::nullopt;
    }
    const backend_state* engine = state.pool.find(choice->engine);
    return chosen_from(*engine, choice->cached_tokens, selection_rule::placement,
                       backend_eligibility::distrusted);
}

std::pair<backend_selector::backend_list, backend_eligibility> backend_selector::candidates(
    const selection_request& question, const selection_state& state, instant now) const {
    const bool whole_service =
        uses_object_affinity(question) || is_disabled(settings::mechanism::backend_subset);
    const bool must_run_once = !question.repeatable;
    if (must_run_once && !most_have_reported_failures(state.pool, state.reported, now)) {
        const auto worst = backend_eligibility::trusted;
        backend_list trusted = eligible_backends(worst, question, state, whole_service, now);
        if (!trusted.empty()) {
            return {std::move(trusted), worst};
        }
    }
    const auto worst = backend_eligibility::distrusted;
    backend_list available = eligible_backends(worst, question, state, whole_service, now);
    if (!available.empty()) {
        return {std::move(available), worst};
    }
    const auto last_resort = backend_eligibility::unavailable;
    return {eligible_backends(last_resort, question, state, true, now), last_resort};
}

backend_selector::backend_list backend_selector::eligible_backends(
    backend_eligibility worst, const selection_request& question, const selection_state& state,
    bool whole_service, instant now) const {
    const auto is_candidate = [&](const backend_state& backend) {
        return !question.tried.contains(backend.member.name) &&
               eligibility_of(backend, state.pool, state.reported, now) <= worst;
    };
    if (!whole_service) {
        return state.subset.usable(state.pool, is_candidate);
    }
    backend_list chosen;
    for (const auto& [name, backend] : state.pool.all()) {
        if (is_candidate(backend)) {
            chosen.push_back(&backend);
        }
    }
    return chosen;
}

bool backend_selector::uses_object_affinity(const selection_request& question) const {
    return !question.object.empty() && !is_disabled(settings::mechanism::object_affinity);
}

}  // namespace tallyfold::forwarding
