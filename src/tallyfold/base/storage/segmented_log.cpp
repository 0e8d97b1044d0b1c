#include "tallyfold/base/storage/segmented_log.hpp"

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <system_error>
#include <vector>

#include "tallyfold/base/storage/record_reader.hpp"

namespace tallyfold::storage {

namespace {

namespace fs = std::filesystem;

/// Number in the file name of a segment; 0 for other files.
std::uint64_t segment_number(std::string_view name, std::string_view prefix) {
    if (!name.starts_with(prefix)) {
        return 0;
    }
    name.remove_prefix(prefix.size());
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(name.data(), name.data() + name.size(), number);
    return failure == std::errc{} && end == name.data() + name.size() ? number : 0;
}

}  // namespace

void remove_files(const std::string& folder,
                  const std::function<bool(const std::string& name)>& is_stale) {
    std::vector<fs::path> stale;
    for (const auto& entry : fs::directory_iterator(folder)) {
        if (is_stale(entry.path().filename().string())) {
            stale.push_back(entry.path());
        }
    }
    for (const fs::path& path : stale) {
        // A file that can't be removed only takes up space; the next call tries again.
        std::error_code ignored;
        fs::remove(path, ignored);
    }
}

segmented_log::segmented_log(std::string folder, std::string prefix, std::uint64_t segment_bytes)
    : folder_(std::move(folder)), prefix_(std::move(prefix)), segment_bytes_(segment_bytes) {}

std::string segmented_log::path_of(std::uint64_t number) const {
    return folder_ + "/" + prefix_ + std::to_string(number);
}

tl::expected<void, storage_error> segmented_log::open(
    tail_policy tail,
    const std::function<tl::expected<void, storage_error>(std::string_view payload)>& on_payload) {
    for (const auto& entry : fs::directory_iterator(folder_)) {
        number_ = std::max(number_, segment_number(entry.path().filename().string(), prefix_));
    }
    if (number_ == 0) {
        return rewrite([](std::string&) { return false; });
    }
    auto records = record_reader::open(path(), tail);
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
        if (auto taken = on_payload(**payload); !taken) {
            return taken;
        }
    }
    truncated_bytes_ = records->tail_length();
    initial_bytes_ = records->valid_length();
    auto file = append_file::open_at(path(), initial_bytes_);
    if (!file) {
        return tl::unexpected(file.error());
    }
    file_.emplace(std::move(*file));
    remove_older_segments();
    return {};
}

tl::expected<void, storage_error> segmented_log::append(std::string_view records) {
    if (failed_ || !file_.has_value()) {
        return tl::unexpected(
            storage_error{storage_failure::input_output, path() + ": an earlier write failed"});
    }
    auto written = file_->append(records);
    if (written) {
        written = file_->sync();
    }
    failed_ = !written;
    return written;
}

bool segmented_log::needs_rewrite() const {
    return file_.has_value() && file_->size() > segment_bytes_ &&
           file_->size() > 2 * initial_bytes_;
}

tl::expected<std::uint64_t, storage_error> segmented_log::write_replacement(
    const std::string& path, const segment_chunk_source& next_chunk) {
    auto file = append_file::create(replacement_path(path));
    if (!file) {
        return tl::unexpected(file.error());
    }
    bool more = true;
    while (more) {
        std::string bytes;
        more = next_chunk(bytes);
        if (auto written = file->append(bytes); !written) {
            return tl::unexpected(written.error());
        }
    }
    if (auto synced = file->sync(); !synced) {
        return tl::unexpected(synced.error());
    }
    return file->size();
}

tl::expected<void, storage_error> segmented_log::rewrite(const segment_chunk_source& next_chunk) {
    const std::string next = path_of(number_ + 1);
    const auto length = write_replacement(next, next_chunk);
    if (!length) {
        return tl::unexpected(length.error());
    }
    // Once the new segment is renamed, a restart may read it instead of the old one. Appending to
    // the old segment is therefore disabled until the new one is open.
    failed_ = true;
    if (auto replaced = commit_replacement(next); !replaced) {
        return replaced;
    }
    auto file = append_file::open_at(next, *length);
    if (!file) {
        return tl::unexpected(file.error());
    }
    file_.emplace(std::move(*file));
    ++number_;
    initial_bytes_ = *length;
    failed_ = false;
    remove_older_segments();
    return {};
}

void segmented_log::remove_older_segments() {
    remove_files(folder_, [this](const std::string& name) {
        const std::uint64_t number = segment_number(name, prefix_);
        const bool unfinished = name.starts_with(prefix_) && name.ends_with(".tmp");
        return unfinished || (number > 0 && number < number_);
    });
}

}  // namespace tallyfold::storage
