#include "tallyfold/plane/discovery/backend_list.hpp"

#include <algorithm>
#include <set>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::discovery {

namespace {

std::size_t count_of(const list_changes& changes) {
    return changes.changed.size() + changes.removed.size();
}

std::uint64_t hash_of(const listed_backend& backend) {
    return stable_hash(protocol::encode(backend));
}

}  // namespace

std::string text_of(list_failure failure) {
    switch (failure) {
        case list_failure::base_mismatch:
            return "difference from a list that is not held";
        case list_failure::result_mismatch:
            return "the resulting list differs from the announced one";
        case list_failure::no_backends:
            return "the list has no back ends";
    }
    return "unknown";
}

list_fingerprint backend_list::fingerprint_if_known() const {
    return std::max<list_fingerprint>(1, combine_hash(hash_sum_, entries_.size()));
}

list_fingerprint backend_list::fingerprint() const {
    return known_ ? fingerprint_if_known() : 0;
}

std::vector<listed_backend> backend_list::backends() const {
    std::vector<listed_backend> all;
    all.reserve(entries_.size());
    for (const auto& [name, known] : entries_) {
        all.push_back(known.backend);
    }
    return all;
}

const listed_backend* backend_list::find(const backend_name& name) const {
    const auto found = entries_.find(name);
    return found == entries_.end() ? nullptr : &found->second.backend;
}

void backend_list::insert(const listed_backend& backend) {
    entry& changed = entries_[backend.member.name];
    changed = {backend, hash_of(backend), poll_};
    hash_sum_ += changed.hash;
    leaving_ += backend.member.leaving ? 1 : 0;
}

void backend_list::erase(const backend_name& name) {
    const auto found = entries_.find(name);
    if (found == entries_.end()) {
        return;
    }
    hash_sum_ -= found->second.hash;
    leaving_ -= found->second.backend.member.leaving ? 1 : 0;
    entries_.erase(found);
}

list_changes backend_list::change_entries(const list_changes& changes) {
    list_changes effective;
    for (const backend_name& name : changes.removed) {
        if (entries_.contains(name)) {
            erase(name);
            effective.removed.push_back(name);
        }
    }
    for (const listed_backend& backend : changes.changed) {
        const listed_backend* known = find(backend.member.name);
        if (known == nullptr || !(*known == backend)) {
            erase(backend.member.name);
            insert(backend);
            effective.changed.push_back(backend);
        }
    }
    return effective;
}

list_changes backend_list::inverse_of(const list_changes& changes) const {
    list_changes inverse;
    for (const backend_name& name : changes.removed) {
        if (const listed_backend* known = find(name)) {
            inverse.changed.push_back(*known);
        }
    }
    for (const listed_backend& backend : changes.changed) {
        if (const listed_backend* known = find(backend.member.name)) {
            inverse.changed.push_back(*known);
        } else {
            inverse.removed.push_back(backend.member.name);
        }
    }
    return inverse;
}

void backend_list::write_journal(list_fingerprint from, const list_changes& changes) {
    if (max_journal_entries_ == 0 || from == 0) {
        return;
    }
    journal_.push_back({from, changes});
    journal_entries_ += count_of(changes);
    while (journal_entries_ > max_journal_entries_) {
        journal_entries_ -= count_of(journal_.front().changes);
        journal_.pop_front();
    }
}

void backend_list::add_polled(const std::vector<listed_backend>& backends, list_changes& changes) {
    std::set<backend_name> added;
    for (const listed_backend& backend : backends) {
        const auto known = entries_.find(backend.member.name);
        if (known == entries_.end()) {
            // Of several entries with one name, the first applies.
            if (added.insert(backend.member.name).second) {
                changes.changed.push_back(backend);
            }
            continue;
        }
        const bool is_repeated = known->second.poll == poll_;
        known->second.poll = poll_;
        if (!is_repeated && !(known->second.backend == backend)) {
            changes.changed.push_back(backend);
        }
    }
}

void backend_list::add_missing(const std::vector<rejected_entry>& rejected, list_changes& changes) {
    std::set<backend_name> rejected_names;
    for (const rejected_entry& entry : rejected) {
        rejected_names.insert(entry.name);
    }
    const bool has_unnamed = rejected_names.contains({});
    for (const auto& [name, known] : entries_) {
        if (known.poll == poll_) {
            continue;
        }
        const bool may_be_unnamed = has_unnamed && poll_ - known.poll <= max_missing_polls;
        if (!may_be_unnamed && !rejected_names.contains(name)) {
            changes.removed.push_back(name);
        } else if (!known.backend.member.leaving) {
            changes.changed.push_back(known.backend);
            changes.changed.back().member.leaving = true;
        }
    }
}

tl::expected<list_changes, list_failure> backend_list::record_poll(const polled_list& polled,
                                                                   instant now) {
    if (polled.backends.empty() && !entries_.empty()) {
        return tl::unexpected(list_failure::no_backends);
    }
    ++poll_;
    list_changes changes;
    add_polled(polled.backends, changes);
    add_missing(polled.rejected, changes);
    const list_fingerprint from = fingerprint();
    list_changes effective = change_entries(changes);
    known_ = true;
    last_polled_at_ = now;
    pages_ = polled.pages;
    if (count_of(effective) > 0) {
        write_journal(from, effective);
    }
    return effective;
}

tl::expected<list_changes, list_failure> backend_list::apply(const list_content& content,
                                                             instant polled_at) {
    const bool is_full = content.base == 0;
    if (!is_full && content.base != fingerprint()) {
        return tl::unexpected(list_failure::base_mismatch);
    }
    list_changes changes = content.changes;
    if (is_full) {
        std::set<backend_name> names;
        for (const listed_backend& backend : content.changes.changed) {
            names.insert(backend.member.name);
        }
        for (const auto& [name, known] : entries_) {
            if (!names.contains(name)) {
                changes.removed.push_back(name);
            }
        }
    }
    const list_fingerprint from = fingerprint();
    const list_changes inverse = inverse_of(changes);
    list_changes effective = change_entries(changes);
    if (fingerprint_if_known() != content.result) {
        change_entries(inverse);
        return tl::unexpected(list_failure::result_mismatch);
    }
    known_ = true;
    last_polled_at_ = polled_at;
    if (count_of(effective) > 0) {
        write_journal(from, effective);
    }
    return effective;
}

void backend_list::confirm(instant polled_at) {
    last_polled_at_ = std::max(last_polled_at_, polled_at);
}

bool backend_list::has_journal_since(list_fingerprint held) const {
    return held == fingerprint() ||
           std::any_of(journal_.begin(), journal_.end(),
                       [held](const journal_record& record) { return record.from == held; });
}

std::set<backend_name> backend_list::names_changed_since(list_fingerprint held) const {
    std::set<backend_name> names;
    list_fingerprint reached = fingerprint();
    for (auto record = journal_.rbegin(); record != journal_.rend() && reached != held; ++record) {
        names.insert(record->changes.removed.begin(), record->changes.removed.end());
        for (const listed_backend& backend : record->changes.changed) {
            names.insert(backend.member.name);
        }
        reached = record->from;
    }
    return names;
}

list_content backend_list::content_since(list_fingerprint held) const {
    list_content content;
    content.result = fingerprint();
    if (held == 0 || !has_journal_since(held)) {
        content.changes.changed = backends();
        return content;
    }
    content.base = held;
    for (const backend_name& name : names_changed_since(held)) {
        if (const listed_backend* backend = find(name)) {
            content.changes.changed.push_back(*backend);
        } else {
            content.changes.removed.push_back(name);
        }
    }
    return content;
}

}  // namespace tallyfold::discovery
