#include "tallyfold/listing/fleet_load.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace tallyfold::listing {

namespace {

double seconds_of(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// Both lists are in the order of names.
std::optional<list_position> position_of(const std::vector<listed_backend>& backends,
                                         const backend_name& name) {
    const auto found = std::lower_bound(backends.begin(), backends.end(), name,
                                        [](const listed_backend& entry, const backend_name& key) {
                                            return entry.member.name < key;
                                        });
    if (found == backends.end() || found->member.name != name) {
        return std::nullopt;
    }
    return static_cast<list_position>(found - backends.begin());
}

}  // namespace

double fleet_load::value_of(const decaying_count& count, instant now) {
    const double age = std::max(0.0, seconds_of(now - count.at) / seconds_of(memory));
    return count.calls * std::exp(-age);
}

void fleet_load::take(const load_question& question, const std::vector<listed_backend>& backends,
                      instant now) {
    for (const begun_calls& begun : question.begun) {
        if (begun.backend >= backends.size()) {
            continue;
        }
        decaying_count& count = counts_[backends[begun.backend].member.name];
        count.calls = value_of(count, now) + begun.count;
        count.at = now;
    }
}

std::vector<told_rate> fleet_load::answer(const load_question& question,
                                          const std::vector<listed_backend>& backends,
                                          instant now) const {
    std::vector<told_rate> rates;
    for (const list_position position : question.watched) {
        if (position >= backends.size() || rates.size() >= most_told) {
            continue;
        }
        const auto count = counts_.find(backends[position].member.name);
        const double calls = count == counts_.end() ? 0 : value_of(count->second, now);
        // The sum of calls that each fade over `memory` is the rate times `memory`.
        rates.push_back({position, static_cast<float>(calls / seconds_of(memory))});
    }
    return rates;
}

void fleet_load::keep_only(const std::vector<listed_backend>& backends) {
    std::erase_if(counts_, [&](const auto& entry) {
        return !position_of(backends, entry.first).has_value();
    });
}

void load_watch::begun(const backend_name& backend, instant now) {
    calls_.push_back({now, backend});
    while (calls_.size() > most_calls || now - calls_.front().at > call_limit) {
        calls_.pop_front();
    }
}

void load_watch::watch(const std::string& service, std::vector<backend_name> backends) {
    watched_[service] = std::move(backends);
}

load_question load_watch::ask(const std::string& reader, const list_memory& list, instant now) {
    const auto [last_told, first_time] = told_until_.try_emplace(reader, now - call_limit);
    std::map<list_position, std::uint16_t> counts;
    std::set<list_position> watched;
    for (const begun_call& call : calls_) {
        const auto position = position_of(list.backends(), call.backend);
        if (!position.has_value()) {
            continue;
        }
        watched.insert(*position);
        if (call.at > last_told->second) {
            ++counts[*position];
        }
    }
    last_told->second = now;
    load_question question;
    for (const auto& [position, count] : counts) {
        question.begun.push_back({position, count});
    }
    for (const auto& [service, backends] : watched_) {
        for (const backend_name& name : backends) {
            if (const auto position = position_of(list.backends(), name)) {
                watched.insert(*position);
            }
        }
    }
    question.watched.assign(watched.begin(), watched.end());
    return question;
}

void load_watch::learn(const load_answer& answer, const list_memory& list, instant now) {
    if (answer.list != list.fingerprint()) {
        return;
    }
    for (const told_rate& rate : answer.rates) {
        const bool sane = std::isfinite(rate.calls_per_second) && rate.calls_per_second >= 0;
        if (rate.backend < list.backends().size() && sane) {
            rates_[list.backends()[rate.backend].member.name] = {rate.calls_per_second, now};
            learned_ = now;
        }
    }
    std::erase_if(rates_, [now](const auto& entry) { return now - entry.second.at > told_limit; });
}

double load_watch::calls_per_second(const backend_name& backend, instant now) const {
    const auto found = rates_.find(backend);
    const bool fresh = found != rates_.end() && now - found->second.at <= told_limit;
    return fresh ? found->second.calls_per_second : 0;
}

}  // namespace tallyfold::listing
