#include "tallyfold/plane/directory/applied_state_cache.hpp"

#include <array>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/storage/record_file.hpp"
#include "tallyfold/plane/directory/stored_formats.hpp"

namespace tallyfold::directory {

namespace {

/// Minimum interval between saves: writing a large state costs as much as applying a change.
constexpr duration save_interval = std::chrono::milliseconds(500);
/// Written alternately, so that a power failure damages at most one of the last two saved states.
constexpr std::array<const char*, 2> files{"/applied-state-0", "/applied-state-1"};

}  // namespace

applied_state_cache::state_revision applied_state_cache::revision_of(const directory_state& state) {
    return {state.configuration().version, state.stores().epoch, state.evacuations().revision()};
}

std::string applied_state_cache::path_of(std::size_t number) const {
    return folder_ + files.at(number);
}

directory_state applied_state_cache::load() {
    directory_state newest;
    for (std::size_t number = 0; number < files.size(); ++number) {
        const auto payload = storage::read_single_record(path_of(number));
        if (!payload) {
            continue;
        }
        directory_state earlier;
        if (const auto restored = earlier.restore(*payload); !restored) {
            logging::write_event(
                logging::event_id::entry_unreadable,
                "file=" + path_of(number) + " reason=\"" + restored.error().reason + "\"");
            continue;
        }
        if (revision_of(earlier) > revision_of(newest)) {
            newest = std::move(earlier);
            next_ = 1 - number;
        }
    }
    loaded_ = revision_of(newest);
    return newest;
}

void applied_state_cache::save(const directory_state& applied, instant now) {
    const state_revision revision = revision_of(applied);
    if (revision < loaded_ || revision == saved_ || now - saved_at_ < save_interval) {
        return;
    }
    saved_ = revision;
    saved_at_ = now;
    if (storage::overwrite_file(path_of(next_), storage::single_record(state_on_disk(applied)))) {
        next_ = 1 - next_;
    }
}

}  // namespace tallyfold::directory
