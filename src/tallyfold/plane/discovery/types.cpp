#include "tallyfold/plane/discovery/types.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::discovery {

list_fingerprint fingerprint_of(const std::vector<listed_backend>& backends) {
    return std::max<list_fingerprint>(1, stable_hash(protocol::encode(backends)));
}

list_changes changes_between(const std::vector<listed_backend>& from,
                             const std::vector<listed_backend>& to) {
    list_changes changes;
    auto old = from.begin();
    for (const listed_backend& entry : to) {
        while (old != from.end() && old->member.name < entry.member.name) {
            changes.removed.push_back(old->member.name);
            ++old;
        }
        const bool known = old != from.end() && old->member.name == entry.member.name;
        if (!known || !(*old == entry)) {
            changes.changed.push_back(entry);
        }
        old += known ? 1 : 0;
    }
    for (; old != from.end(); ++old) {
        changes.removed.push_back(old->member.name);
    }
    return changes;
}

std::vector<listed_backend> with_changes(const std::vector<listed_backend>& from,
                                         const list_changes& changes) {
    std::map<backend_name, listed_backend> entries;
    for (const listed_backend& entry : from) {
        entries.emplace(entry.member.name, entry);
    }
    for (const backend_name& name : changes.removed) {
        entries.erase(name);
    }
    for (const listed_backend& entry : changes.changed) {
        entries[entry.member.name] = entry;
    }
    std::vector<listed_backend> result;
    result.reserve(entries.size());
    for (auto& [name, entry] : entries) {
        result.push_back(std::move(entry));
    }
    return result;
}

void backend_list_replica::replace(std::vector<listed_backend> backends,
                                   list_fingerprint fingerprint) {
    differences_.clear();
    if (kept_lists_ > 0 && known()) {
        earlier_.push_back({fingerprint_, std::move(backends_)});
        if (earlier_.size() > kept_lists_) {
            earlier_.pop_front();
        }
    }
    backends_ = std::move(backends);
    fingerprint_ = fingerprint;
}

bool backend_list_replica::record_poll(const std::vector<listed_backend>& backends, instant now) {
    last_polled_at_ = now;
    // Sorted by name, so that the fingerprint does not depend on the order of the entries.
    std::vector<listed_backend> sorted = with_changes({}, {backends, {}});
    const list_fingerprint fingerprint = fingerprint_of(sorted);
    if (fingerprint == fingerprint_) {
        return false;
    }
    replace(std::move(sorted), fingerprint);
    return true;
}

bool backend_list_replica::apply_update(const list_update& update, instant now) {
    const instant polled_at = now - std::chrono::milliseconds(update.age_ms);
    if (known() && polled_at <= last_polled_at_) {
        return false;
    }
    if (update.fingerprint == fingerprint_) {
        last_polled_at_ = polled_at;
        return false;
    }
    if (update.base != 0 && update.base != fingerprint_) {
        return false;
    }
    const bool is_full_list = update.base == 0;
    std::vector<listed_backend> updated =
        with_changes(is_full_list ? std::vector<listed_backend>{} : backends_, update.changes);
    // The changes were applied to a different list; the sender will send them again.
    if (fingerprint_of(updated) != update.fingerprint) {
        return false;
    }
    last_polled_at_ = polled_at;
    replace(std::move(updated), update.fingerprint);
    return true;
}

const list_changes& backend_list_replica::changes_from(list_fingerprint held,
                                                       list_fingerprint& base) {
    const auto earlier =
        std::find_if(earlier_.begin(), earlier_.end(),
                     [held](const earlier_list& list) { return list.fingerprint == held; });
    base = earlier == earlier_.end() ? 0 : held;
    const auto [entry, inserted] = differences_.try_emplace(base);
    if (inserted) {
        entry->second = changes_between(
            base == 0 ? std::vector<listed_backend>{} : earlier->backends, backends_);
    }
    return entry->second;
}

std::vector<list_update> backend_list_replica::update_for(list_fingerprint held, duration held_age,
                                                          instant now) {
    if (!known() || (held != 0 && last_polled_at_ <= now - held_age)) {
        return {};
    }
    list_update update;
    update.fingerprint = fingerprint_;
    update.age_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, to_milliseconds(now - last_polled_at_)));
    if (held != fingerprint_) {
        update.changes = changes_from(held, update.base);
    }
    return {update};
}

}  // namespace tallyfold::discovery
