#include "tallyfold/consensus/replicated_log.hpp"

#include <algorithm>
#include <iterator>

namespace tallyfold::consensus {

replicated_log::replicated_log(log_index snapshot_index, term_number snapshot_term,
                               std::vector<log_entry> entries)
    : snapshot_index_(snapshot_index),
      snapshot_term_(snapshot_term),
      entries_(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end())) {}

term_number replicated_log::last_term() const {
    return entries_.empty() ? snapshot_term_ : entries_.back().term;
}

std::optional<term_number> replicated_log::term_at(log_index index) const {
    if (index == snapshot_index_) {
        return snapshot_term_;
    }
    if (index < first_index() || index > last_index()) {
        return std::nullopt;
    }
    return at(index).term;
}

const log_entry& replicated_log::at(log_index index) const {
    return entries_.at(index - first_index());
}

std::vector<log_entry> replicated_log::slice(log_index from, std::size_t limit) const {
    if (from > last_index()) {
        return {};
    }
    const std::size_t begin = from - first_index();
    const std::size_t end = std::min(begin + limit, entries_.size());
    return {entries_.begin() + static_cast<std::ptrdiff_t>(begin),
            entries_.begin() + static_cast<std::ptrdiff_t>(end)};
}

void replicated_log::append(log_entry entry) {
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate_from(log_index index) {
    while (last_index() >= index && !entries_.empty()) {
        entries_.pop_back();
    }
}

void replicated_log::compact(log_index index, term_number term) {
    while (!entries_.empty() && first_index() <= index) {
        entries_.pop_front();
        ++snapshot_index_;
    }
    snapshot_index_ = index;
    snapshot_term_ = term;
}

void replicated_log::reset(log_index index, term_number term) {
    entries_.clear();
    snapshot_index_ = index;
    snapshot_term_ = term;
}

}  // namespace tallyfold::consensus
