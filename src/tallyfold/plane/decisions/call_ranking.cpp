#include "tallyfold/plane/decisions/call_ranking.hpp"

#include <algorithm>
#include <cmath>

namespace tallyfold::forwarding {

namespace {

std::int32_t clamped_level(double rank) {
    const double clamped_rank = std::clamp(rank, static_cast<double>(call_ranking::most_urgent),
                                           static_cast<double>(call_ranking::least_urgent));
    return static_cast<std::int32_t>(std::lround(clamped_rank));
}

}  // namespace

tl::expected<policy_change, scheduling::policy_error> call_ranking::set_policy(
    const std::string& text) {
    if (text == text_) {
        return policy_change::unchanged;
    }
    text_ = text;
    if (text.empty()) {
        policy_.reset();
        return policy_change::removed;
    }
    auto compiled = scheduling::policy::compile(text);
    if (!compiled) {
        return tl::unexpected(compiled.error());
    }
    policy_ = std::move(*compiled);
    failures_ = 0;
    return policy_change::activated;
}

double call_ranking::order_of(const scheduling::call_features& call) {
    if (policy_ != nullptr) {
        if (const auto rank = policy_->order(call)) {
            return *rank;
        }
        ++failures_;
    }
    return call.time_left_ms;
}

std::int32_t call_ranking::urgency_of(const scheduling::call_features& call) {
    if (policy_ == nullptr || !policy_->ranks_urgency()) {
        return clamped_level(call.priority);
    }
    const auto rank = policy_->urgency(call);
    if (!rank) {
        ++failures_;
        return clamped_level(call.priority);
    }
    return clamped_level(*rank);
}

}  // namespace tallyfold::forwarding
