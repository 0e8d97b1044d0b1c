#include "tallyfold/turns/turn_log.hpp"

#include <charconv>
#include <filesystem>
#include <system_error>

#include "tallyfold/protocol/binary_codec.hpp"
#include "tallyfold/storage/record_format.hpp"
#include "tallyfold/storage/record_reader.hpp"

namespace tallyfold::turns {

namespace {

namespace fs = std::filesystem;
using storage::storage_error;
using storage::storage_failure;

constexpr std::string_view segment_prefix = "turns-";
constexpr std::string_view map_name = "store-map";
constexpr std::string_view identity_name = "store-identity";

std::uint64_t segment_number_of(const fs::path& path) {
    std::string_view name(path.native());
    name.remove_prefix(name.rfind('/') + 1);
    if (!name.starts_with(segment_prefix)) {
        return 0;
    }
    name.remove_prefix(segment_prefix.size());
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(name.data(), name.data() + name.size(), number);
    return failure == std::errc{} && end == name.data() + name.size() ? number : 0;
}

}  // namespace

turn_log::turn_log(std::string folder, std::uint64_t segment_bytes)
    : folder_(std::move(folder)), segment_bytes_(segment_bytes) {}

std::string turn_log::segment_path(std::uint64_t number) const {
    return folder_ + "/" + std::string(segment_prefix) + std::to_string(number);
}

tl::expected<turn_log, storage_error> turn_log::open(
    const std::string& folder, store_id fresh_identity,
    const std::function<void(const book_change&)>& on_change, std::uint64_t segment_bytes) {
    std::error_code failure;
    fs::create_directories(folder, failure);
    if (failure) {
        return tl::unexpected(
            storage_error{storage_failure::input_output, folder + ": " + failure.message()});
    }
    turn_log log(folder, segment_bytes);
    if (auto loaded = log.load_identity(fresh_identity); !loaded) {
        return tl::unexpected(loaded.error());
    }
    if (auto loaded = log.load_segment(on_change); !loaded) {
        return tl::unexpected(loaded.error());
    }
    return log;
}

tl::expected<void, storage_error> turn_log::load_identity(store_id fresh_identity) {
    const std::string path = folder_ + "/" + std::string(identity_name);
    if (!fs::exists(path)) {
        identity_ = fresh_identity;
        std::string bytes;
        storage::append_record(bytes, protocol::encode(fresh_identity));
        return storage::replace_file(path, bytes);
    }
    const auto bytes = storage::read_file(path);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    const auto scanned = storage::scan_records(*bytes, path);
    if (!scanned) {
        return tl::unexpected(scanned.error());
    }
    if (scanned->payloads.size() != 1) {
        return tl::unexpected(storage_error{storage_failure::damaged, path + ": incomplete"});
    }
    const auto identity = protocol::decode<store_id>(scanned->payloads.front());
    if (!identity) {
        return tl::unexpected(storage_error{storage_failure::foreign, path});
    }
    identity_ = *identity;
    return {};
}

tl::expected<void, storage_error> turn_log::load_segment(
    const std::function<void(const book_change&)>& on_change) {
    for (const auto& entry : fs::directory_iterator(folder_)) {
        segment_number_ = std::max(segment_number_, segment_number_of(entry.path()));
    }
    if (segment_number_ == 0) {
        return rotate([](const std::string&, std::string& next) {
            next.clear();
            return std::vector<book_change>{};
        });
    }
    const std::string path = segment_path(segment_number_);
    auto records = storage::record_reader::open(path, storage::tail_policy::cut_unsynced);
    if (!records) {
        return tl::unexpected(records.error());
    }
    while (true) {
        const auto payload = records->next();
        if (!payload) {
            return tl::unexpected(payload.error());
        }
        if (!payload->has_value()) {
            break;
        }
        auto changes = protocol::decode<std::vector<book_change>>(**payload);
        if (!changes) {
            return tl::unexpected(
                storage_error{storage_failure::damaged, path + ": " + changes.error().reason});
        }
        for (const book_change& change : *changes) {
            on_change(change);
        }
    }
    cut_bytes_ = records->tail_length();
    start_bytes_ = records->valid_length();
    auto file = storage::append_file::open_at(path, start_bytes_);
    if (!file) {
        return tl::unexpected(file.error());
    }
    segment_.push_back(std::move(*file));
    remove_older_segments();
    return {};
}

tl::expected<void, storage_error> turn_log::append(const std::vector<book_change>& changes) {
    if (failed_ || segment_.empty()) {
        return tl::unexpected(
            storage_error{storage_failure::input_output, folder_ + ": an earlier write failed"});
    }
    std::string bytes;
    storage::append_record(bytes, protocol::encode(changes));
    storage::append_file& file = segment_.back();
    auto written = file.append(bytes);
    if (written) {
        written = file.sync();
    }
    failed_ = !written;
    ++syncs_;
    return written;
}

tl::expected<void, storage_error> turn_log::keep_map(const store_map& map) {
    std::string bytes;
    storage::append_record(bytes, protocol::encode(map));
    return storage::replace_file(folder_ + "/" + std::string(map_name), bytes);
}

store_map turn_log::kept_map() const {
    const std::string path = folder_ + "/" + std::string(map_name);
    const auto bytes =
        fs::exists(path) ? storage::read_file(path) : tl::unexpected(storage_error{});
    const auto scanned =
        bytes ? storage::scan_records(*bytes, path) : tl::unexpected(storage_error{});
    if (!scanned || scanned->payloads.size() != 1) {
        return {};
    }
    return protocol::decode<store_map>(scanned->payloads.front()).value_or(store_map{});
}

bool turn_log::wants_rotation() const {
    return !segment_.empty() && segment_.back().size() > segment_bytes_ &&
           segment_.back().size() > 2 * start_bytes_;
}

tl::expected<std::uint64_t, storage_error> turn_log::write_replacement(
    const std::string& path, const change_pages& contents) {
    auto file = storage::append_file::create(storage::replacement_path(path));
    if (!file) {
        return tl::unexpected(file.error());
    }
    std::string next;
    do {
        const std::string from = std::move(next);
        const std::vector<book_change> page = contents(from, next);
        std::string bytes;
        if (!page.empty()) {
            storage::append_record(bytes, protocol::encode(page));
        }
        if (auto written = file->append(bytes); !written) {
            return tl::unexpected(written.error());
        }
    } while (!next.empty());
    if (auto synced = file->sync(); !synced) {
        return tl::unexpected(synced.error());
    }
    return file->size();
}

tl::expected<void, storage_error> turn_log::rotate(const change_pages& contents) {
    const std::string path = segment_path(segment_number_ + 1);
    const auto length = write_replacement(path, contents);
    if (!length) {
        return tl::unexpected(length.error());
    }
    if (auto replaced = storage::commit_replacement(path); !replaced) {
        return replaced;
    }
    auto file = storage::append_file::open_at(path, *length);
    if (!file) {
        return tl::unexpected(file.error());
    }
    segment_.clear();
    segment_.push_back(std::move(*file));
    ++segment_number_;
    start_bytes_ = *length;
    failed_ = false;
    remove_older_segments();
    return {};
}

void turn_log::remove_older_segments() {
    std::vector<fs::path> stale;
    for (const auto& entry : fs::directory_iterator(folder_)) {
        const std::uint64_t number = segment_number_of(entry.path());
        const bool temporary = entry.path().extension() == ".tmp";
        if (temporary || (number > 0 && number < segment_number_)) {
            stale.push_back(entry.path());
        }
    }
    for (const fs::path& path : stale) {
        std::error_code ignored;  // A file that stays is found again at the next start.
        fs::remove(path, ignored);
    }
}

}  // namespace tallyfold::turns
