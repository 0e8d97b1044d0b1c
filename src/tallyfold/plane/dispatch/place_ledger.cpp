#include "tallyfold/plane/dispatch/place_ledger.hpp"

#include <algorithm>

namespace tallyfold::dispatch {

namespace {

/// Typical round trip between two zones of a region, in milliseconds; small against prefills.
constexpr double zone_round_trip_ms = 2.8;
/// Handshake of a new connection beyond its round trip, in milliseconds.
constexpr double handshake_ms = 1;
/// Round trip within a zone, in milliseconds.
constexpr double round_trip_ms = 0.2;
/// Share of a prefill by which each call that runs at the engine is delayed: a step that prefills
/// generates no tokens for the others.
constexpr double delay_of_running_call = 1;
/// Tokens by which an engine has to hold more of a prompt than the others on average to be
/// preferred; reading fewer takes a few milliseconds.
constexpr double min_preference_tokens = 200;
/// Cost of each call that runs at the engine, in milliseconds: the program comes back to the engine
/// that holds its history, and finds it full the more often the more calls it has.
constexpr double running_call_ms = 20;
/// Share of the group's slots that has to be free for a call to leave the engine that holds its
/// prompt. With fewer, reading prompts again takes the slots of others.
constexpr double min_spare_share = 1.0 / 6;
/// Calls beyond the slots go to the engine that holds their prompt up to this multiple of its
/// slots; engines reject calls when their own queue is full.
constexpr std::uint32_t max_overload = 2;
/// Time for a generated token while no engine's is known, in milliseconds.
constexpr double default_token_ms = 3;
/// Weight of an ended call in the share of the longest answer that calls generate.
constexpr double answer_share_weight = 0.02;

bool lists(const std::vector<backend_name>* names, const backend_name& name) {
    return names != nullptr && std::find(names->begin(), names->end(), name) != names->end();
}

}  // namespace

void place_ledger::set_engines(const std::vector<scheduling::backend_member>& engines,
                               token_count cache_tokens,
                               const std::set<engine_position>& referenced) {
    std::vector<backend_name> gone;
    for (const auto& entry : pool_.all()) {
        const scheduling::backend_member& known = entry.second.member;
        const bool stays = std::any_of(engines.begin(), engines.end(), [&](const auto& member) {
            return member.name == known.name && member.address == known.address;
        });
        if (!stays) {
            gone.push_back(known.name);
        }
    }
    for (const backend_name& name : gone) {
        cache_.remove_engine(name);
        speed_.remove_engine(name);
    }
    pool_.update(engines);
    free_positions(referenced);
    cache_tokens_ = cache_tokens;
    room_.slots = 0;
    group_.clear();
    for (const auto& [name, state] : pool_.all()) {
        group_.push_back({&state, index_of(name)});
        room_.slots += state.member.leaving ? 0 : std::max(1U, state.member.slots);
    }
}

std::uint32_t place_ledger::index_of(const backend_name& engine) {
    const auto [found, is_new] = engine_indexes_.try_emplace(engine);
    if (!is_new) {
        return found->second;
    }
    if (free_positions_.empty()) {
        found->second = static_cast<std::uint32_t>(engines_.size());
        engines_.push_back({engine});
    } else {
        found->second = free_positions_.back();
        free_positions_.pop_back();
        engines_[found->second] = {engine};
    }
    return found->second;
}

void place_ledger::free_positions(const std::set<engine_position>& referenced) {
    std::erase_if(engine_indexes_, [&](const auto& entry) {
        const auto& [name, position] = entry;
        const bool in_use =
            has_engine(name) || engines_[position].running > 0 || referenced.contains(position);
        if (!in_use) {
            free_positions_.push_back(position);
        }
        return !in_use;
    });
}

const place_ledger::engine_use* place_ledger::use_of(const backend_name& engine) const {
    const auto found = engine_indexes_.find(engine);
    return found == engine_indexes_.end() ? nullptr : &engines_[found->second];
}

std::uint32_t place_ledger::running_at(const backend_name& engine) const {
    const engine_use* use = use_of(engine);
    return use == nullptr ? 0 : use->running;
}

std::uint32_t place_ledger::slots_of(const scheduling::backend_state& engine) {
    return std::max(1U, engine.member.slots);
}

std::uint32_t place_ledger::free_slots() const {
    // Calls at engines that have left take no slot of the group.
    std::uint32_t free = 0;
    for (const group_engine& engine : group_) {
        const std::uint32_t slots = engine.state->leaving() ? 0 : slots_of(*engine.state);
        free += slots - std::min(slots, engines_[engine.index].running);
    }
    return free;
}

bool place_ledger::has_spare_slots() const {
    return free_slots() >= min_spare_share * room_.slots;
}

engine_position place_ledger::position_of(const backend_name& engine) const {
    const auto found = engine_indexes_.find(engine);
    return found == engine_indexes_.end() ? no_engine : found->second;
}

std::vector<bool> place_ledger::ready_engines(instant now) const {
    std::vector<bool> ready(engines_.size(), true);
    for (const group_engine& engine : group_) {
        ready[engine.index] = !pool_.available(*engine.state, now) ||
                              engines_[engine.index].running < slots_of(*engine.state);
    }
    return ready;
}

bool place_ledger::is_eligible(const scheduling::backend_state& engine,
                               const placement_question& question, instant now) const {
    return pool_.available(engine, now) && !lists(question.excluded, engine.member.name);
}

bool place_ledger::has_eligible_engine(const placement_question& question, instant now) const {
    return std::any_of(group_.begin(), group_.end(), [&](const group_engine& engine) {
        return is_eligible(*engine.state, question, now);
    });
}

bool place_ledger::has_room(const group_engine& engine, const placement_question& question) const {
    const engine_use& use = engines_[engine.index];
    const token_count needed = question.prompt_tokens + question.max_tokens;
    // A call larger than the cache runs alone or is rejected by the engine.
    const bool fits =
        cache_tokens_ == 0 || use.tokens + needed <= cache_tokens_ || use.running == 0;
    return use.running < std::max(1U, engine.state->member.slots) && fits;
}

double place_ledger::token_ms(const backend_name& engine, std::uint32_t running,
                              instant now) const {
    const double learned =
        learns_speed_ ? exact_milliseconds(speed_.token_time(engine, running, now)) : 0;
    return learned > 0 ? learned : default_token_ms;
}

double place_ledger::expected_ms(const group_engine& engine, const placement_question& question,
                                 token_count cached_tokens, instant now) const {
    const engine_use& use = engines_[engine.index];
    const scheduling::backend_member& member = engine.state->member;
    const double way = member.zone == question.zone ? round_trip_ms : zone_round_trip_ms;
    const double connect = lists(question.connected, member.name) ? 0 : handshake_ms + way;
    const auto uncached = static_cast<double>(question.prompt_tokens -
                                              std::min(cached_tokens, question.prompt_tokens));
    const double prefill = uncached * exact_milliseconds(speed_.prefill_time_per_token());
    const double pending = std::max(0.0, exact_milliseconds(use.prefilled_at - now));
    const double tokens = static_cast<double>(question.max_tokens) * answer_share_;
    return way + connect + pending + prefill * (1 + delay_of_running_call * use.running) +
           running_call_ms * use.running + tokens * token_ms(member.name, use.running + 1, now);
}

std::vector<token_count> place_ledger::cached_tokens_of(const placement_question& question) const {
    std::vector<token_count> cached(engines_.size());
    const auto note = [&](const scheduling::cached_prefix& prefix) {
        const auto found = engine_indexes_.find(prefix.engine);
        if (found != engine_indexes_.end()) {
            cached[found->second] = std::max(cached[found->second], prefix.tokens);
        }
    };
    if (question.prompt != nullptr) {
        const auto matches = cache_.find(*question.prompt);
        std::for_each(matches.begin(), matches.end(), note);
    }
    if (question.holders != nullptr) {
        std::for_each(question.holders->begin(), question.holders->end(), note);
    }
    return cached;
}

std::optional<placed_call> place_ledger::preferred(const placement_question& question,
                                                   instant now) const {
    const std::vector<token_count> cached = cached_tokens_of(question);
    const group_engine* best = nullptr;
    token_count best_tokens = 0;
    token_count all_tokens = 0;
    for (const group_engine& engine : group_) {
        const token_count held = std::min(cached[engine.index], question.prompt_tokens);
        if (held == 0 || !is_eligible(*engine.state, question, now)) {
            continue;
        }
        all_tokens += held;
        if (held > best_tokens) {
            best = &engine;
            best_tokens = held;
        }
    }
    const double others = std::max(1.0, static_cast<double>(group_.size()) - 1);
    const double more_tokens =
        static_cast<double>(best_tokens) - static_cast<double>(all_tokens - best_tokens) / others;
    if (best == nullptr || more_tokens < min_preference_tokens) {
        return std::nullopt;
    }
    return placed_call{best->state->member.name, best_tokens};
}

std::optional<placed_call> place_ledger::choose_at(const backend_name& engine,
                                                   const placement_question& question,
                                                   instant now) const {
    const auto found = std::find_if(group_.begin(), group_.end(), [&](const auto& each) {
        return each.state->member.name == engine;
    });
    if (found == group_.end() || !has_room(*found, question) ||
        !is_eligible(*found->state, question, now)) {
        return std::nullopt;
    }
    const token_count tokens = cached_tokens_of(question)[found->index];
    return placed_call{engine, std::min(tokens, question.prompt_tokens)};
}

std::optional<placed_call> place_ledger::choose(const placement_question& question,
                                                instant now) const {
    const bool any_room = std::any_of(group_.begin(), group_.end(), [&](const auto& engine) {
        return has_room(engine, question);
    });
    if (!any_room) {
        return std::nullopt;
    }
    const std::vector<token_count> cached = cached_tokens_of(question);
    std::optional<placed_call> best;
    double best_ms = 0;
    for (const group_engine& engine : group_) {
        if (!has_room(engine, question) || !is_eligible(*engine.state, question, now)) {
            continue;
        }
        const token_count tokens = cached[engine.index];
        const double expected = expected_ms(engine, question, tokens, now);
        if (!best || expected < best_ms) {
            best = placed_call{engine.state->member.name, std::min(tokens, question.prompt_tokens)};
            best_ms = expected;
        }
    }
    return best;
}

std::optional<placed_call> place_ledger::choose_beyond_slots(const placement_question& question,
                                                             instant now) const {
    auto holder = preferred(question, now);
    if (holder &&
        running_at(holder->engine) < max_overload * slots_of(*pool_.find(holder->engine))) {
        return holder;
    }
    std::optional<placed_call> best;
    double best_ms = 0;
    for (const group_engine& engine : group_) {
        if (!is_eligible(*engine.state, question, now)) {
            continue;
        }
        const backend_name& name = engine.state->member.name;
        const std::uint32_t calls = engines_[engine.index].running + 1;
        const double load_ms = calls * token_ms(name, calls, now);
        if (!best || load_ms < best_ms) {
            best = placed_call{name, 0};
            best_ms = load_ms;
        }
    }
    return best;
}

void place_ledger::start(const call_key& key, const backend_name& engine, const call_size& size,
                         instant now) {
    const std::uint32_t index = index_of(engine);
    const auto [found, is_new] = calls_.try_emplace(key);
    if (!is_new) {
        return;
    }
    engine_use& use = engines_[index];
    ++use.running;
    use.tokens += size.tokens;
    ++room_.running;
    room_.tokens += size.tokens;
    const double prefill_ms =
        size.uncached_tokens * exact_milliseconds(speed_.prefill_time_per_token());
    use.prefilled_at = std::max(use.prefilled_at, now) + from_milliseconds(prefill_ms);
    found->second = {index, size, use.running, now, now + lease_time};
}

bool place_ledger::renew(const call_key& key, instant now) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
        return false;
    }
    found->second.lease_ends = now + lease_time;
    return true;
}

backend_name place_ledger::engine_of(const call_key& key) const {
    const auto found = calls_.find(key);
    return found == calls_.end() ? backend_name{} : engines_[found->second.engine].name;
}

place_ledger::call_table::iterator place_ledger::erase(call_table::iterator call) {
    engine_use& use = engines_[call->second.engine];
    if (--use.running == 0) {
        // The expected prefill of calls that were not sent or were cut off doesn't take place.
        use.prefilled_at = {};
    }
    use.tokens -= call->second.size.tokens;
    --room_.running;
    room_.tokens -= call->second.size.tokens;
    return calls_.erase(call);
}

void place_ledger::learn(const registered_call& call, const call_end& ended, instant now) {
    const backend_name& engine = engines_[call.engine].name;
    if (!has_engine(engine)) {
        // The speed of an engine that has left would be kept, and count as usual for new ones.
        return;
    }
    if (ended.outcome == release_outcome::failed) {
        pool_.failed(engine, now);
        return;
    }
    if (ended.outcome != release_outcome::answered) {
        return;
    }
    pool_.succeeded(engine);
    // The tokens of answers without events are unknown.
    if (call.size.max_tokens > 0 && ended.generated_tokens > 0) {
        const double share =
            std::min(1.0, static_cast<double>(ended.generated_tokens) / call.size.max_tokens);
        answer_share_ += answer_share_weight * (share - answer_share_);
    }
    if (ended.events == 0 || ended.generated_tokens == 0) {
        return;
    }
    scheduling::speed_sample sample;
    sample.running = call.running;
    sample.prefilled_tokens = call.size.uncached_tokens;
    sample.first_event = ended.first_event;
    const double tokens_per_event = std::max(
        1.0, static_cast<double>(ended.generated_tokens) / static_cast<double>(ended.events));
    sample.token_time = from_milliseconds(exact_milliseconds(ended.gap) / tokens_per_event);
    speed_.record(engine, sample, now);
}

std::optional<finished_call> place_ledger::finish(const call_key& key, const call_end& ended,
                                                  instant now) {
    const auto found = calls_.find(key);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    const finished_call finished{found->second.size, now - found->second.started_at};
    learn(found->second, ended, now);
    erase(found);
    return finished;
}

std::size_t place_ledger::finish_process(std::uint32_t process) {
    const std::size_t before = calls_.size();
    for (auto call = calls_.begin(); call != calls_.end();) {
        call = call->first.process == process ? erase(call) : std::next(call);
    }
    return before - calls_.size();
}

void place_ledger::record_cached(const backend_name& engine,
                                 const std::vector<scheduling::prefix_point>& prompt) {
    for (const scheduling::prefix_point& point : prompt) {
        cache_.stored(engine, point);
    }
}

std::size_t place_ledger::expire(instant now) {
    const std::size_t before = calls_.size();
    for (auto call = calls_.begin(); call != calls_.end();) {
        call = call->second.lease_ends <= now ? erase(call) : std::next(call);
    }
    return before - calls_.size();
}

}  // namespace tallyfold::dispatch
