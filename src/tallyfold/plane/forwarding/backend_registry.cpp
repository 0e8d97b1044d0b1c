#include "tallyfold/plane/forwarding/backend_registry.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::forwarding {

using scheduling::backend_member;
using scheduling::backend_pool;
using scheduling::backend_state;

namespace {

/// A call without a byte for this long, and for this many times the usual, makes its back end
/// suspect.
constexpr duration min_silence = std::chrono::milliseconds(700);
constexpr int silence_factor = 5;
/// Own calls at an object's back end from which on the next in its order is taken.
constexpr std::uint32_t max_calls_at_object_home = 2;
/// Answers over which the usual time is averaged, about.
constexpr int usual_samples = 16;

template <class Condition>
std::vector<const backend_state*> all_of(const backend_pool& pool, Condition&& condition) {
    std::vector<const backend_state*> chosen;
    for (const auto& [name, backend] : pool.all()) {
        if (condition(backend)) {
            chosen.push_back(&backend);
        }
    }
    return chosen;
}

}  // namespace

backend_registry::backend_registry(std::string zone, std::uint64_t seed,
                                   scheduling::strategy chosen, settings::switched_off off)
    : zone_(std::move(zone)),
      node_key_(seed),
      random_(seed),
      placement_(chosen),
      off_(std::move(off)) {}

bool backend_registry::update(const std::vector<discovery::listed_backend>& backends, instant now) {
    std::map<std::string, std::vector<backend_member>> listed;
    for (const discovery::listed_backend& backend : backends) {
        listed[backend.service].push_back(backend.member);
    }
    listed_at_ = now;
    has_list_ = true;
    if (listed == listed_) {
        return false;
    }
    for (const auto& [service, members] : listed_) {
        if (!listed.contains(service)) {
            pools_[service].update({});
            subsets_.erase(service);
        }
    }
    for (const auto& [service, members] : listed) {
        pools_[service].update(members);
        subsets_.try_emplace(service, node_key_).first->second.update(members);
    }
    listed_ = std::move(listed);
    return true;
}

std::size_t backend_registry::size() const {
    std::size_t count = 0;
    for (const auto& [service, pool] : pools_) {
        count += pool.all().size();
    }
    return count;
}

std::optional<chosen_backend> backend_registry::choose(const backend_question& question,
                                                       instant now) {
    const auto pool = pools_.find(question.service);
    if (pool == pools_.end()) {
        return std::nullopt;
    }
    if (question.is_engine && question.tried.empty()) {
        if (auto chosen = choose_engine(question, pool->second, now)) {
            return chosen;
        }
    }
    return choose_service(question, pool->second, now);
}

std::optional<chosen_backend> backend_registry::choose_engine(const backend_question& question,
                                                              const backend_pool& pool,
                                                              instant now) {
    scheduling::placement_request request;
    request.zone = zone_;
    request.prompt = question.prompt;
    request.prompt_tokens = question.prompt_tokens;
    request.call = question.call;
    request.pace = &paces_[question.service];
    if (!question.program.empty() && !off_.contains(settings::mechanism::program_home)) {
        request.home = scheduling::home_of(question.program, pool, now);
        // An earlier turn of the program has left all but the newest part there.
        const auto* prompt = question.prompt;
        request.home_tokens =
            prompt != nullptr && prompt->size() > 1 ? (*prompt)[prompt->size() - 2].tokens : 0;
    }
    std::vector<const backend_state*> sample;
    if (!off_.contains(settings::mechanism::backend_subset)) {
        const auto is_usable = [&](const backend_state& engine) {
            return pool.available(engine, now);
        };
        sample = subsets_[question.service].usable(pool, is_usable);
        request.sample = &sample;
    }
    const auto choice = placement_.choose(request, pool, cache_, question.ranking, now);
    if (!choice) {
        return std::nullopt;
    }
    const backend_state* engine = pool.find(choice->engine);
    return chosen_backend{choice->engine, engine->member.address, choice->cached_tokens};
}

std::optional<chosen_backend> backend_registry::choose_service(const backend_question& question,
                                                               const backend_pool& pool,
                                                               instant now) {
    const auto is_usable = [&](const backend_state& backend) {
        return !question.tried.contains(backend.member.name) && pool.available(backend, now);
    };
    const auto is_trusted = [&](const backend_state& backend) {
        return is_usable(backend) && !breaks_.is_distrusted(backend.member.name, now);
    };
    std::vector<const backend_state*> options;
    if (!question.repeatable && !most_are_doubted(pool, now)) {
        options = candidates(question, pool, is_trusted);
    }
    if (options.empty()) {
        options = candidates(question, pool, is_usable);
    }
    if (options.empty()) {
        // Rather one that failed lately than none.
        options = all_of(pool, [&](const backend_state& backend) {
            return !question.tried.contains(backend.member.name) && !backend.leaving();
        });
    }
    if (options.empty()) {
        return std::nullopt;
    }
    return goes_by_object(question) ? home_of_object(question.object, options)
                                    : less_loaded_of_two(options);
}

bool backend_registry::goes_by_object(const backend_question& question) const {
    return !question.object.empty() && !off_.contains(settings::mechanism::object_home);
}

std::vector<const backend_state*> backend_registry::candidates(
    const backend_question& question, const backend_pool& pool,
    const std::function<bool(const backend_state&)>& condition) const {
    const auto subset = subsets_.find(question.service);
    const bool any = goes_by_object(question) || subset == subsets_.end() ||
                     off_.contains(settings::mechanism::backend_subset);
    return any ? all_of(pool, condition) : subset->second.usable(pool, condition);
}

bool backend_registry::most_are_doubted(const backend_pool& pool, instant now) const {
    const auto doubted = all_of(pool, [&](const backend_state& backend) {
        return breaks_.is_distrusted(backend.member.name, now);
    });
    return 2 * doubted.size() > pool.all().size();
}

chosen_backend backend_registry::home_of_object(const std::string& object,
                                                const std::vector<const backend_state*>& options) {
    const std::uint64_t key = stable_hash(object);
    const auto weight = [&](const backend_state* backend) {
        return combine_hash(key, stable_hash(backend->member.name));
    };
    std::vector<const backend_state*> order = options;
    std::sort(order.begin(), order.end(),
              [&](const auto* left, const auto* right) { return weight(left) < weight(right); });
    const auto free = std::find_if(order.begin(), order.end(), [](const backend_state* backend) {
        return backend->own_outstanding < max_calls_at_object_home;
    });
    const backend_state* chosen = free == order.end() ? order.front() : *free;
    return {chosen->member.name, chosen->member.address, 0};
}

chosen_backend backend_registry::less_loaded_of_two(
    const std::vector<const backend_state*>& options) {
    // Drawn by lot: nodes that don't see each other's calls spread well.
    const backend_state* one = options[random_.below(options.size())];
    const backend_state* other = options[random_.below(options.size())];
    const backend_state* best = other->outstanding() < one->outstanding() ? other : one;
    return chosen_backend{best->member.name, best->member.address, 0};
}

const backend_state* backend_registry::find(const backend_name& name) const {
    for (const auto& [service, pool] : pools_) {
        if (const backend_state* found = pool.find(name)) {
            return found;
        }
    }
    return nullptr;
}

std::string backend_registry::broke_off(const backend_name& name, instant at) {
    const backend_state* broken = find(name);
    if (broken == nullptr || off_.contains(settings::mechanism::backend_distrust)) {
        return {};
    }
    breaks_.expire(at);
    return breaks_.note(name, at) ? broken->member.address : std::string{};
}

backend_call backend_registry::started(const std::string& service, const chosen_backend& chosen,
                                       token_count prompt_tokens, instant now) {
    const token_count held = std::min(chosen.cached_tokens, prompt_tokens);
    const token_count unread = prompt_tokens - held;
    pools_[service].started(chosen.name, unread);
    waiting_[service].since[chosen.name].insert(now);
    return {service, chosen.name, now, unread, true};
}

void backend_registry::stop_waiting(const backend_call& call) {
    auto& since = waiting_[call.service].since;
    const auto found = since.find(call.backend);
    if (found == since.end()) {
        return;
    }
    if (const auto started = found->second.find(call.since); started != found->second.end()) {
        found->second.erase(started);
    }
    if (found->second.empty()) {
        since.erase(found);
    }
}

void backend_registry::answering(backend_call& call, instant now) {
    waiting_calls& calls = waiting_[call.service];
    const duration took = now - call.since;
    calls.usual += (took - calls.usual) / usual_samples;
    stop_waiting(call);
    paces_[call.service].prompt_read(call.unread_tokens, took);
    pools_[call.service].prefilled(call.backend, call.unread_tokens);
    call.awaits_first_byte = false;
}

void backend_registry::finished(backend_call& call) {
    backend_pool& pool = pools_[call.service];
    if (call.awaits_first_byte) {
        stop_waiting(call);
        pool.prefilled(call.backend, call.unread_tokens);
        call.awaits_first_byte = false;
    }
    pool.finished(call.backend);
}

std::vector<backend_name> backend_registry::suspect_silent(instant now) {
    std::vector<backend_name> suspected;
    if (off_.contains(settings::mechanism::silence)) {
        return suspected;
    }
    for (const auto& [service, calls] : waiting_) {
        backend_pool& pool = pools_[service];
        const duration limit = std::max(min_silence, calls.usual * silence_factor);
        for (const auto& [name, since] : calls.since) {
            const backend_state* backend = pool.find(name);
            const bool silent = !since.empty() && now - *since.begin() > limit;
            if (silent && backend != nullptr && pool.available(*backend, now)) {
                pool.unreachable(name, now);
                suspected.push_back(name);
            }
        }
    }
    return suspected;
}

void backend_registry::succeeded(const std::string& service, const backend_name& name) {
    pools_[service].succeeded(name);
}

void backend_registry::failed(const std::string& service, const backend_name& name, instant now) {
    if (!off_.contains(settings::mechanism::ejection)) {
        pools_[service].failed(name, now);
    }
}

void backend_registry::unreachable(const std::string& service, const backend_name& name,
                                   instant now) {
    pools_[service].unreachable(name, now);
}

void backend_registry::gone(const std::string& service, const backend_name& name) {
    pools_[service].set_drained(name, true);
    paces_[service].forget(name);
    cache_.forget(name);
}

void backend_registry::holds(const backend_name& name,
                             const std::vector<scheduling::prefix_point>& prompt) {
    if (prompt.empty()) {
        return;
    }
    for (const scheduling::prefix_point& point : prompt) {
        cache_.stored(name, point);
    }
}

}  // namespace tallyfold::forwarding
