#include "tallyfold/plane/turns/store_folder_shell.hpp"

#include <algorithm>
#include <random>

#include "tallyfold/base/common/steady_clock.hpp"
#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::turns {

namespace {

/// A random 64-bit identity of a disk or a process; 0 means that there is none. Two of them do not
/// collide in practice.
std::uint64_t random_identity() {
    std::random_device source;
    const std::uint64_t high = source();
    return std::max<std::uint64_t>(1, (high << 32U) ^ source());
}

tl::expected<turn_log, storage::storage_error> read_folder(const std::string& folder,
                                                           turn_table& recovered) {
    // The age of the recovered turns is not known, so their retention starts again.
    const instant now = steady_now();
    return turn_log::open(folder, random_identity(), [&recovered, now](const turn_change& change) {
        recovered.apply(change, now);
    });
}

void log_failure(const storage::storage_error& error) {
    logging::write_event(logging::event_id::storage_failed, "reason=\"" + error.detail + "\"");
}

/// Reads the stored map. A damaged one counts as none, since the directory sends the map in force.
/// @return nothing when this build cannot read the map's format
std::optional<store_map> read_map(const turn_log& log) {
    const auto kept = log.load_map();
    if (kept) {
        return *kept;
    }
    log_failure(kept.error());
    return kept.error().failure == storage::storage_failure::unknown_format
               ? std::nullopt
               : std::optional<store_map>(store_map{});
}

}  // namespace

std::optional<opened_store> open_store(const std::string& folder) {
    turn_table recovered;
    auto opened = read_folder(folder, recovered);
    // A folder in an unknown format is not damaged: it is left unchanged for a build that can read
    // it.
    if (!opened && opened.error().failure == storage::storage_failure::damaged) {
        // The other stores hold the lost data, which this store copies under a new identity.
        logging::write_event(logging::event_id::identity_renewed,
                             "reason=\"" + opened.error().detail + "\"");
        if (const auto cleared = turn_log::clear(folder); !cleared) {
            log_failure(cleared.error());
            return std::nullopt;
        }
        recovered = turn_table{};
        opened = read_folder(folder, recovered);
    }
    if (!opened) {
        log_failure(opened.error());
        return std::nullopt;
    }
    const std::optional<store_map> map = read_map(*opened);
    if (!map) {
        return std::nullopt;
    }
    store_fsm state(opened->identity(), *map, std::move(recovered), random_identity());
    log_opened(*opened, state.turns(),
               "programs=" + std::to_string(state.turns().program_count()) +
                   " cut_bytes=" + std::to_string(opened->truncated_bytes()));
    return opened_store{std::move(*opened), std::move(state)};
}

void log_opened(const turn_log& log, const turn_table& turns, const std::string& detail) {
    logging::write_event(logging::event_id::storage_opened,
                         "identity=" + std::to_string(log.identity()) +
                             " turns=" + std::to_string(turns.turn_count()) + " " + detail);
}

}  // namespace tallyfold::turns
