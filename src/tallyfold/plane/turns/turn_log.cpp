#include "tallyfold/plane/turns/turn_log.hpp"

#include <filesystem>

#include "tallyfold/base/protocol/stored_value.hpp"
#include "tallyfold/base/storage/record_file.hpp"
#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::turns {

namespace {

namespace fs = std::filesystem;
using storage::storage_error;
using storage::storage_failure;

constexpr std::string_view segment_prefix = "turns-";
constexpr std::string_view map_file_name = "store-map";
constexpr std::string_view identity_file_name = "store-identity";

}  // namespace

turn_log::turn_log(std::string folder, std::uint64_t segment_bytes)
    : folder_(std::move(folder)), log_(folder_, std::string(segment_prefix), segment_bytes) {}

tl::expected<turn_log, storage_error> turn_log::open(
    const std::string& folder, store_id new_identity,
    const std::function<void(const turn_change&)>& on_change, std::uint64_t segment_bytes) {
    if (auto opened = storage::open_folder(folder); !opened) {
        return tl::unexpected(opened.error());
    }
    turn_log log(folder, segment_bytes);
    if (auto loaded = log.load_identity(new_identity); !loaded) {
        return tl::unexpected(loaded.error());
    }
    if (auto loaded = log.load_changes(on_change); !loaded) {
        return tl::unexpected(loaded.error());
    }
    return log;
}

tl::expected<void, storage_error> turn_log::clear(const std::string& folder) {
    return storage::remove_folder_contents(folder, std::string(identity_file_name));
}

tl::expected<void, storage_error> turn_log::load_identity(store_id new_identity) {
    const std::string path = folder_ + "/" + std::string(identity_file_name);
    if (!fs::exists(path)) {
        for (const auto& entry : fs::directory_iterator(folder_)) {
            const std::string name = entry.path().filename().string();
            if (name.starts_with(segment_prefix) || name == map_file_name) {
                return tl::unexpected(storage_error{
                    storage_failure::damaged, path + ": missing, while the folder has " + name});
            }
        }
        identity_ = new_identity;
        return storage::replace_file(path, storage::single_record(protocol::encode(new_identity)));
    }
    const auto payload = storage::read_single_record(path);
    if (!payload) {
        return tl::unexpected(payload.error());
    }
    const auto identity = protocol::decode<store_id>(*payload);
    if (!identity) {
        return tl::unexpected(storage_error{storage_failure::unknown_format, path});
    }
    identity_ = *identity;
    return {};
}

tl::expected<void, storage_error> turn_log::load_changes(
    const std::function<void(const turn_change&)>& on_change) {
    const auto decode_record = [&](std::string_view payload) -> tl::expected<void, storage_error> {
        const auto changes = protocol::decode_stored<std::vector<turn_change>>(payload);
        if (!changes) {
            // The checksum matches, so the format is unknown rather than the record damaged.
            return tl::unexpected(storage_error{storage_failure::unknown_format,
                                                log_.path() + ": " + changes.error().reason});
        }
        for (const turn_change& change : *changes) {
            on_change(change);
        }
        return {};
    };
    return log_.open(storage::tail_policy::truncate_torn, decode_record);
}

tl::expected<void, storage_error> turn_log::append(const std::vector<turn_change>& changes) {
    return log_.append(storage::single_record(protocol::encode(changes)));
}

tl::expected<void, storage_error> turn_log::save_map(const store_map& map) {
    return storage::replace_file(folder_ + "/" + std::string(map_file_name),
                                 storage::single_record(protocol::encode_stored(map)));
}

tl::expected<store_map, storage_error> turn_log::load_map() const {
    const std::string path = folder_ + "/" + std::string(map_file_name);
    if (!fs::exists(path)) {
        return store_map{};
    }
    const auto payload = storage::read_single_record(path);
    if (!payload) {
        return tl::unexpected(payload.error());
    }
    const auto map = protocol::decode_stored<store_map>(*payload);
    if (!map) {
        return tl::unexpected(
            storage_error{storage_failure::unknown_format, path + ": " + map.error().reason});
    }
    return *map;
}

tl::expected<void, storage_error> turn_log::rotate(const page_reader& read_page) {
    std::string after;
    return log_.rewrite([&](std::string& bytes) {
        const change_page page = read_page(after);
        if (!page.changes.empty()) {
            storage::append_record(bytes, protocol::encode(page.changes));
        }
        after = page.next;
        return !after.empty();
    });
}

}  // namespace tallyfold::turns
