#include "stand_ins/engine_core.hpp"

#include <algorithm>

#include "stand_ins/answer_content.hpp"
#include "tallyfold/program_api/journal/conversation_prefix.hpp"

namespace tallyfold::stand_ins {

namespace {

using scheduling::prefix_hash;
using scheduling::prefix_point;

constexpr duration expiry_interval = std::chrono::seconds(1);
constexpr std::size_t max_load_reports = 64;
constexpr duration max_step_backlog = std::chrono::milliseconds(100);
/// Retention of seals; must exceed the longest start limit.
constexpr duration seal_retention = std::chrono::seconds(60);

bool is_late(scheduler::backend_clock not_after, instant now) {
    return not_after != scheduler::no_start_deadline && now.time_since_epoch().count() > not_after;
}

}  // namespace

void prefill_ledger::record(prefix_hash hash, token_count tokens) {
    prefilled_ += tokens;
    if (!seen_.insert(hash).second) {
        rebuilt_ += tokens;
    }
}

engine_core::engine_core(engine_settings settings, std::shared_ptr<prefill_ledger> ledger,
                         instant now)
    : settings_(std::move(settings)),
      ledger_(std::move(ledger)),
      random_(settings_.seed),
      step_due_(now) {}

tl::expected<void, engine_refusal> engine_core::start(const scheduler::start_stream& request,
                                                      instant now) {
    lease_epoch& epoch = epochs_[request.fence.shard];
    if (request.fence.epoch < epoch) {
        return tl::unexpected(engine_refusal::stale_epoch);
    }
    epoch = request.fence.epoch;
    if (is_late(request.not_after, now) || sealed_.contains(request.key)) {
        return tl::unexpected(engine_refusal::too_late);
    }
    if (leaving_) {
        return tl::unexpected(engine_refusal::leaving);
    }
    if (!request.model.empty() && request.model != settings_.model) {
        return tl::unexpected(engine_refusal::wrong_model);
    }
    if (streams_.contains(request.key)) {
        // A repeated start of an attempt resumes its stream.
        return resume({request.backend, request.key, request.prefix.size()}, now);
    }
    stream added;
    added.request = request;
    for (const journal::message& message : *request.prompt) {
        const prefix_point before = added.points.empty() ? prefix_point{} : added.points.back();
        added.points.push_back(journal::extend_prefix(before, message));
    }
    added.prompt_tokens = added.points.empty() ? 0 : added.points.back().tokens;
    added.pieces = request.prefix;
    added.sent = request.prefix.size();
    added.changed = now;
    added.order = next_order_++;
    waiting_[{-request.priority, added.order}] = request.key;
    streams_[request.key] = std::move(added);
    if (running_.empty()) {
        step_due_ = std::max(step_due_, now);
    }
    return {};
}

tl::expected<void, engine_refusal> engine_core::resume(const scheduler::resume_stream& request,
                                                       instant now) {
    const auto found = streams_.find(request.key);
    if (found == streams_.end()) {
        sealed_[request.key] = now;
        return tl::unexpected(engine_refusal::unknown);
    }
    stream& target = found->second;
    target.attached = true;
    target.changed = now;
    target.sent = std::min<std::uint64_t>(request.offset, target.pieces.size());
    send_pieces(target);
    if (target.finished) {
        reports_.push_back(scheduler::stream_finished{request.key, target.prompt_tokens,
                                                      target.pieces.size(), target.cached_tokens});
    }
    return {};
}

void engine_core::detach(const scheduler::attempt_key& key, instant now) {
    const auto found = streams_.find(key);
    if (found != streams_.end()) {
        found->second.attached = false;
        found->second.changed = now;
    }
}

void engine_core::cancel(const scheduler::attempt_key& key, instant now) {
    sealed_[key] = now;
    const auto found = streams_.find(key);
    if (found == streams_.end()) {
        return;
    }
    stream& target = found->second;
    waiting_.erase({-target.request.priority, target.order});
    std::erase(running_, key);
    if (!target.finished && target.admitted) {
        release_holds(target);
        entries_[target.entry].finished = now;
        entries_[target.entry].tokens += target.pieces.size() - target.request.prefix.size();
    }
    streams_.erase(found);
}

void engine_core::send_pieces(stream& target) {
    if (!target.attached || target.sent >= target.pieces.size()) {
        return;
    }
    scheduler::stream_pieces report;
    report.key = target.request.key;
    report.offset = target.sent;
    report.pieces.assign(target.pieces.begin() + static_cast<std::ptrdiff_t>(target.sent),
                         target.pieces.end());
    target.sent = target.pieces.size();
    reports_.push_back(std::move(report));
}

// --- batching ------------------------------------------------------------------------------

instant engine_core::tick(instant now) {
    if (now >= next_expiry_) {
        next_expiry_ = now + expiry_interval;
        expire(now);
    }
    if (now - step_due_ > max_step_backlog) {
        // The process was suspended; skips the missed steps.
        step_due_ = now;
    }
    while (step_due_ <= now && !idle()) {
        const instant at = step_due_;
        admit(at);
        if (running_.empty()) {
            // No waiting sequence fits in memory; retries after the base step time.
            step_due_ = at + settings_.step_base;
            continue;
        }
        step_due_ = at + run_step(at);
        loads_.emplace_back(at, current_load());
        if (loads_.size() > max_load_reports) {
            loads_.pop_front();
        }
    }
    return idle() ? next_expiry_ : step_due_;
}

bool engine_core::fits(const stream& target) const {
    // Reserves the whole prompt and the maximum answer of every running sequence.
    token_count held = 0;
    for (const scheduler::attempt_key& key : running_) {
        const stream& other = streams_.at(key);
        held += other.prompt_tokens + other.request.max_tokens;
    }
    return running_.empty() ||
           held + target.prompt_tokens + target.request.max_tokens <= settings_.cache_tokens;
}

void engine_core::drop_late(instant now) {
    std::vector<scheduler::attempt_key> late;
    for (const auto& [place, key] : waiting_) {
        if (is_late(streams_.at(key).request.not_after, now)) {
            late.push_back(key);
        }
    }
    for (const scheduler::attempt_key& key : late) {
        reports_.push_back(scheduler::attempt_failed{key, scheduler::failure_kind::refused});
        cancel(key, now);
    }
}

void engine_core::admit(instant now) {
    drop_late(now);
    while (running_.size() < settings_.batch_limit && !waiting_.empty()) {
        const auto first = waiting_.begin();
        stream& target = streams_.at(first->second);
        if (!fits(target)) {
            return;
        }
        running_.push_back(first->second);
        waiting_.erase(first);
        hold_cached(target, now);
        // An attempt counts as run from admission; one that is cancelled earlier did not run.
        target.entry = entries_.size();
        target.admitted = true;
        ledger_entry entry;
        entry.key = target.request.key;
        entry.backend = settings_.name;
        // The time of a delayed step can precede the arrival of the request.
        entry.started = std::max(now, target.changed);
        entry.tokens = target.prompt_tokens;
        entries_.push_back(std::move(entry));
    }
}

void engine_core::hold_cached(stream& target, instant now) {
    for (const prefix_point& point : target.points) {
        const auto found = cache_.find(point.hash);
        if (found == cache_.end()) {
            break;
        }
        cache_node& node = found->second;
        unindex(node);
        ++node.users;
        node.used = now;
        ++target.held_points;
        target.cached_tokens = point.tokens;
    }
    target.cached_points = target.held_points;
    target.prefilled = target.cached_tokens;
}

duration engine_core::run_step(instant now) {
    duration spent = settings_.step_base;
    const token_count computed = prefill_step(now);
    spent += settings_.prefill_per_token * static_cast<std::int64_t>(computed);
    std::int64_t decoding = 0;
    for (const scheduler::attempt_key& key : running_) {
        const stream& target = streams_.at(key);
        decoding += target.prefilled >= target.prompt_tokens ? 1 : 0;
    }
    spent += settings_.step_per_sequence * decoding;
    decode_step(now + spent);
    return spent;
}

token_count engine_core::prefill_step(instant now) {
    token_count left = settings_.prefill_chunk;
    for (const scheduler::attempt_key& key : running_) {
        stream& target = streams_.at(key);
        if (target.prefilled >= target.prompt_tokens) {
            continue;
        }
        const token_count part = std::min(left, target.prompt_tokens - target.prefilled);
        target.prefilled += part;
        left -= part;
        if (target.prefilled >= target.prompt_tokens) {
            store_prefilled(target, now);
        }
        if (left == 0) {
            break;
        }
    }
    return settings_.prefill_chunk - left;
}

void engine_core::store_prefilled(stream& target, instant now) {
    for (std::size_t index = target.cached_points; index < target.points.size(); ++index) {
        const prefix_point& point = target.points[index];
        const prefix_point before = index == 0 ? prefix_point{} : target.points[index - 1];
        ledger_->record(point.hash, point.tokens - before.tokens);
        insert_node(before.hash, point, point.tokens - before.tokens, target.request.key.program,
                    now);
        const auto found = cache_.find(point.hash);
        if (found == cache_.end()) {
            continue;
        }
        unindex(found->second);
        ++found->second.users;
        target.held_points = index + 1;
    }
}

void engine_core::decode_step(instant now) {
    std::vector<scheduler::attempt_key> done;
    for (const scheduler::attempt_key& key : running_) {
        stream& target = streams_.at(key);
        if (target.prefilled < target.prompt_tokens) {
            continue;
        }
        if (target.pieces.size() < target.request.max_tokens) {
            const prefix_hash history = target.points.empty() ? 0 : target.points.back().hash;
            target.pieces.push_back(
                completion_piece(key.program, key.sequence, history, target.pieces.size()));
        }
        send_pieces(target);
        if (target.pieces.size() >= target.request.max_tokens) {
            done.push_back(key);
        }
    }
    for (const scheduler::attempt_key& key : done) {
        finish(streams_.at(key), now);
    }
}

void engine_core::finish(stream& target, instant now) {
    std::erase(running_, target.request.key);
    target.finished = true;
    target.changed = now;
    std::string answer;
    for (const std::string& piece : target.pieces) {
        answer += piece;
    }
    const prefix_point before = target.points.empty() ? prefix_point{} : target.points.back();
    const prefix_point after =
        journal::extend_prefix(before, {"assistant", answer, target.pieces.size()});
    insert_node(before.hash, after, target.pieces.size(), target.request.key.program, now);
    release_holds(target);
    ledger_entry& entry = entries_[target.entry];
    entry.finished = now;
    entry.completed = true;
    entry.tokens += target.pieces.size() - target.request.prefix.size();
    if (target.attached) {
        reports_.push_back(scheduler::stream_finished{target.request.key, target.prompt_tokens,
                                                      target.pieces.size(), target.cached_tokens});
    }
}

void engine_core::release_holds(stream& target) {
    for (std::size_t index = 0; index < target.held_points; ++index) {
        const auto found = cache_.find(target.points[index].hash);
        if (found != cache_.end() && found->second.users > 0) {
            --found->second.users;
            index_if_evictable(found->second);
        }
    }
    target.held_points = 0;
}

void engine_core::expire(instant now) {
    std::vector<scheduler::attempt_key> gone;
    for (auto& [key, target] : streams_) {
        const bool orphaned = !target.attached && now - target.changed > settings_.orphan_limit;
        const bool old = target.finished && now - target.changed > settings_.finished_retention;
        if (old || (orphaned && !target.finished)) {
            gone.push_back(key);
        }
    }
    for (const scheduler::attempt_key& key : gone) {
        cancel(key, now);
    }
    std::erase_if(sealed_, [&](const auto& entry) { return now - entry.second > seal_retention; });
    std::vector<prefix_hash> lapsed;
    for (const auto& [hash, node] : cache_) {
        if (node.value > 0 && node.value_until < now) {
            lapsed.push_back(hash);
        }
    }
    for (const prefix_hash hash : lapsed) {
        cache_node& node = cache_.at(hash);
        unindex(node);
        node.value = 0;
        index_if_evictable(node);
    }
}

// --- orders -------------------------------------------------------------------------------

tl::expected<void, engine_refusal> engine_core::apply(const engine_order& order) {
    if (order.fence <= order_fence_) {
        return tl::unexpected(engine_refusal::stale_order);
    }
    order_fence_ = order.fence;
    if (!order.model.empty()) {
        settings_.model = order.model;
    }
    return {};
}

// --- published state -----------------------------------------------------------------------

}  // namespace tallyfold::stand_ins
