#include "tallyfold/plane/dispatch/place_ledger.hpp"

#include <algorithm>

namespace tallyfold::dispatch {

namespace {

/// Round trip between two zones, in milliseconds.
constexpr double zone_round_trip_ms = 2.8;
/// Handshake of a new connection beyond its round trip, in milliseconds.
constexpr double handshake_ms = 1;
/// Round trip within a zone, in milliseconds.
constexpr double round_trip_ms = 0.2;
/// Share of a prefill by which each call that runs at the engine is delayed: prefills alternate
/// with the steps of running calls.
constexpr double delay_of_running_call = 0.5;
/// Cost of each call that runs at the engine, in milliseconds: its later prefills and its share of
/// each step. Spreads calls over engines that are equal otherwise.
constexpr double running_call_ms = 2;
/// Time for a generated token while no engine's is known, in milliseconds.
constexpr double default_token_ms = 3;
/// Weight of an ended call in the share of the longest answer that calls generate.
constexpr double answer_share_weight = 0.02;

double milliseconds(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

duration from_milliseconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

bool lists(const std::vector<backend_name>* names, const backend_name& name) {
    return names != nullptr && std::find(names->begin(), names->end(), name) != names->end();
}

}  // namespace

void place_ledger::set_engines(const std::vector<scheduling::backend_member>& engines,
                               token_count cache_tokens) {
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
    cache_tokens_ = cache_tokens;
    room_.slots = 0;
    for (const scheduling::backend_member& member : engines) {
        room_.slots += member.leaving ? 0 : std::max(1U, member.slots);
    }
}

std::uint32_t place_ledger::index_of(const backend_name& engine) {
    const auto [found, is_new] =
        engine_indexes_.try_emplace(engine, static_cast<std::uint32_t>(engines_.size()));
    if (is_new) {
        engines_.push_back({engine});
    }
    return found->second;
}

const place_ledger::engine_use* place_ledger::use_of(const backend_name& engine) const {
    const auto found = engine_indexes_.find(engine);
    return found == engine_indexes_.end() ? nullptr : &engines_[found->second];
}

std::uint32_t place_ledger::running_at(const backend_name& engine) const {
    const engine_use* use = use_of(engine);
    return use == nullptr ? 0 : use->running;
}

bool place_ledger::is_eligible(const scheduling::backend_state& engine,
                               const placement_question& question, instant now) const {
    return pool_.available(engine, now) && !lists(question.excluded, engine.member.name);
}

bool place_ledger::has_room(const scheduling::backend_state& engine,
                            const placement_question& question) const {
    const engine_use* use = use_of(engine.member.name);
    if (use == nullptr) {
        return true;
    }
    const token_count needed = question.prompt_tokens + question.max_tokens;
    // A call larger than the cache runs alone or is rejected by the engine.
    const bool fits =
        cache_tokens_ == 0 || use->tokens + needed <= cache_tokens_ || use->running == 0;
    return use->running < std::max(1U, engine.member.slots) && fits;
}

double place_ledger::token_ms(const backend_name& engine, std::uint32_t running,
                              instant now) const {
    const double learned =
        learns_speed_ ? milliseconds(speed_.token_time(engine, running, now)) : 0;
    return learned > 0 ? learned : default_token_ms;
}

double place_ledger::expected_ms(const scheduling::backend_state& engine,
                                 const placement_question& question, token_count cached_tokens,
                                 instant now) const {
    const engine_use* use = use_of(engine.member.name);
    const std::uint32_t running = use == nullptr ? 0 : use->running;
    const double way = engine.member.zone == question.zone ? round_trip_ms : zone_round_trip_ms;
    const bool is_connected = lists(question.connected, engine.member.name);
    const double connect = is_connected ? 0 : handshake_ms + way;
    const auto uncached = static_cast<double>(question.prompt_tokens -
                                              std::min(cached_tokens, question.prompt_tokens));
    const double prefill = uncached * milliseconds(speed_.prefill_time_per_token());
    const double pending =
        use == nullptr ? 0 : std::max(0.0, milliseconds(use->prefilled_at - now));
    const double tokens = static_cast<double>(question.max_tokens) * answer_share_;
    return way + connect + pending + prefill * (1 + delay_of_running_call * running) +
           running_call_ms * running + tokens * token_ms(engine.member.name, running + 1, now);
}

std::optional<placed_call> place_ledger::choose(const placement_question& question,
                                                instant now) const {
    std::map<backend_name, token_count> cached;
    if (question.prompt != nullptr) {
        for (const scheduling::cached_prefix& match : cache_.find(*question.prompt)) {
            cached[match.engine] = match.tokens;
        }
    }
    if (question.holders != nullptr) {
        for (const scheduling::cached_prefix& holder : *question.holders) {
            token_count& known = cached[holder.engine];
            known = std::max(known, holder.tokens);
        }
    }
    std::optional<placed_call> best;
    double best_ms = 0;
    for (const auto& [name, engine] : pool_.all()) {
        if (!is_eligible(engine, question, now) || !has_room(engine, question)) {
            continue;
        }
        const auto held = cached.find(name);
        const token_count tokens = held == cached.end() ? 0 : held->second;
        const double expected = expected_ms(engine, question, tokens, now);
        if (!best || expected < best_ms) {
            best = placed_call{name, std::min(tokens, question.prompt_tokens)};
            best_ms = expected;
        }
    }
    return best;
}

std::optional<placed_call> place_ledger::choose_beyond_slots(const placement_question& question,
                                                             instant now) const {
    std::optional<placed_call> best;
    double best_ms = 0;
    for (const auto& [name, engine] : pool_.all()) {
        if (!is_eligible(engine, question, now)) {
            continue;
        }
        const std::uint32_t calls = running_at(name) + 1;
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
    const double prefill_ms = size.uncached_tokens * milliseconds(speed_.prefill_time_per_token());
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
    --use.running;
    use.tokens -= call->second.size.tokens;
    --room_.running;
    room_.tokens -= call->second.size.tokens;
    return calls_.erase(call);
}

void place_ledger::learn(const registered_call& call, const call_end& ended, instant now) {
    const backend_name& engine = engines_[call.engine].name;
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
    const double tokens_per_event =
        static_cast<double>(ended.generated_tokens) / static_cast<double>(ended.events);
    sample.token_time = from_milliseconds(milliseconds(ended.gap) / tokens_per_event);
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
