#include "tallyfold/consensus/persistence.hpp"

#include <algorithm>

namespace tallyfold::consensus {

void durable_group::apply(const group_write& write) {
    if (write.state.has_value()) {
        state_.state = *write.state;
    }
    std::vector<log_entry>& entries = state_.entries;
    if (!write.entries.empty()) {
        const log_index first = write.entries.front().index;
        std::erase_if(entries, [&](const log_entry& entry) { return entry.index >= first; });
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
    }
    if (write.base.has_value()) {
        const snapshot& base = *write.base;
        const auto matching_entry = std::find_if(
            entries.begin(), entries.end(),
            [&](const log_entry& e) { return e.index == base.index && e.term == base.term; });
        if (matching_entry == entries.end()) {
            // The log may have diverged from the leader's, so its snapshot replaces all of it.
            entries = write.entries;
        }
        std::erase_if(entries, [&](const log_entry& entry) { return entry.index <= base.index; });
        state_.base = base;
    }
}

}  // namespace tallyfold::consensus
