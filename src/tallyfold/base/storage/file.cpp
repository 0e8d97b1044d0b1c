#include "tallyfold/base/storage/file.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>
#include <vector>

namespace tallyfold::storage {

namespace {

constexpr mode_t file_mode = 0640;
constexpr std::size_t read_block_bytes = 1U << 16U;

storage_error system_error(const std::string& path, std::string_view step) {
    return {storage_failure::input_output,
            path + ": " + std::string(step) + ": " + std::strerror(errno)};
}

/// Folder that holds the entry of `path`.
std::filesystem::path parent_of(const std::filesystem::path& path) {
    return path.has_parent_path() ? path.parent_path() : std::filesystem::path(".");
}

}  // namespace

append_file::append_file(std::string path, int descriptor, std::uint64_t size)
    : path_(std::move(path)), descriptor_(descriptor), size_(size) {}

append_file::append_file(append_file&& other) noexcept
    : path_(std::move(other.path_)),
      descriptor_(std::exchange(other.descriptor_, -1)),
      size_(other.size_),
      failed_(other.failed_) {}

append_file& append_file::operator=(append_file&& other) noexcept {
    std::swap(path_, other.path_);
    std::swap(descriptor_, other.descriptor_);
    std::swap(size_, other.size_);
    std::swap(failed_, other.failed_);
    return *this;
}

append_file::~append_file() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

tl::expected<append_file, storage_error> append_file::create(const std::string& path) {
    const int descriptor =
        ::open(path.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, file_mode);
    if (descriptor < 0) {
        return tl::unexpected(system_error(path, "create"));
    }
    return append_file(path, descriptor, 0);
}

tl::expected<append_file, storage_error> append_file::open_at(const std::string& path,
                                                              std::uint64_t length) {
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return tl::unexpected(system_error(path, "open"));
    }
    append_file file(path, descriptor, length);
    if (::ftruncate(descriptor, static_cast<off_t>(length)) != 0) {
        return tl::unexpected(system_error(path, "truncate"));
    }
    if (::lseek(descriptor, 0, SEEK_END) < 0) {
        return tl::unexpected(system_error(path, "seek"));
    }
    if (auto synced = file.sync(); !synced) {
        return tl::unexpected(synced.error());
    }
    return file;
}

tl::expected<void, storage_error> append_file::fail(std::string_view step) {
    failed_ = true;
    return tl::unexpected(system_error(path_, step));
}

tl::expected<void, storage_error> append_file::append(std::string_view bytes) {
    if (failed_) {
        return tl::unexpected(
            storage_error{storage_failure::input_output, path_ + ": an earlier write failed"});
    }
    while (!bytes.empty()) {
        const ssize_t written = ::write(descriptor_, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return fail("write");
        }
        bytes.remove_prefix(static_cast<std::size_t>(written));
        size_ += static_cast<std::uint64_t>(written);
    }
    return {};
}

tl::expected<void, storage_error> append_file::sync() {
    if (failed_) {
        return tl::unexpected(
            storage_error{storage_failure::input_output, path_ + ": an earlier sync failed"});
    }
    if (::fdatasync(descriptor_) != 0) {
        return fail("sync");
    }
    return {};
}

input_file::input_file(std::string path, int descriptor)
    : path_(std::move(path)), descriptor_(descriptor) {}

input_file::input_file(input_file&& other) noexcept
    : path_(std::move(other.path_)), descriptor_(std::exchange(other.descriptor_, -1)) {}

input_file::~input_file() {
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

tl::expected<input_file, storage_error> input_file::open(const std::string& path) {
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        return tl::unexpected(system_error(path, "open"));
    }
    return input_file(path, descriptor);
}

tl::expected<std::size_t, storage_error> input_file::read_block(std::string& target) {
    std::array<char, read_block_bytes> block{};
    const ssize_t count = ::read(descriptor_, block.data(), block.size());
    if (count < 0) {
        return tl::unexpected(system_error(path_, "read"));
    }
    target.append(block.data(), static_cast<std::size_t>(count));
    return static_cast<std::size_t>(count);
}

tl::expected<std::string, storage_error> read_file(const std::string& path) {
    auto file = input_file::open(path);
    if (!file) {
        return tl::unexpected(file.error());
    }
    std::string bytes;
    while (true) {
        const auto count = file->read_block(bytes);
        if (!count) {
            return tl::unexpected(count.error());
        }
        if (*count == 0) {
            return bytes;
        }
    }
}

std::string replacement_path(const std::string& path) {
    return path + ".tmp";
}

tl::expected<void, storage_error> commit_replacement(const std::string& path) {
    if (::rename(replacement_path(path).c_str(), path.c_str()) != 0) {
        return tl::unexpected(system_error(path, "rename"));
    }
    return sync_folder(parent_of(path).string());
}

tl::expected<void, storage_error> replace_file(const std::string& path, std::string_view bytes) {
    auto file = append_file::create(replacement_path(path));
    if (!file) {
        return tl::unexpected(file.error());
    }
    if (auto written = file->append(bytes); !written) {
        return written;
    }
    if (auto synced = file->sync(); !synced) {
        return synced;
    }
    return commit_replacement(path);
}

tl::expected<void, storage_error> overwrite_file(const std::string& path, std::string_view bytes) {
    if (!std::filesystem::exists(path)) {
        return replace_file(path, bytes);
    }
    auto file = append_file::create(path);
    if (!file) {
        return tl::unexpected(file.error());
    }
    if (auto written = file->append(bytes); !written) {
        return written;
    }
    return file->sync();
}

tl::expected<void, storage_error> open_folder(const std::string& path) {
    std::vector<std::filesystem::path> missing;
    std::error_code failure;
    for (std::filesystem::path folder = path; !std::filesystem::is_directory(folder, failure);
         folder = parent_of(folder)) {
        missing.push_back(folder);
    }
    while (!missing.empty()) {
        const std::filesystem::path& folder = missing.back();
        std::filesystem::create_directory(folder, failure);
        if (failure) {
            return tl::unexpected(storage_error{storage_failure::input_output,
                                                folder.string() + ": " + failure.message()});
        }
        if (auto synced = sync_folder(parent_of(folder).string()); !synced) {
            return synced;
        }
        missing.pop_back();
    }
    return sync_folder(path);
}

tl::expected<void, storage_error> remove_folder_contents(const std::string& path,
                                                         const std::string& marker) {
    const std::string marker_path = path + "/" + marker;
    if (::unlink(marker_path.c_str()) != 0 && errno != ENOENT) {
        return tl::unexpected(system_error(marker_path, "remove"));
    }
    if (auto synced = sync_folder(path); !synced) {
        return synced;
    }
    // An entry that can't be removed is detected and reported when the folder is opened next.
    std::error_code ignored;
    std::vector<std::filesystem::path> entries;
    for (const auto& entry : std::filesystem::directory_iterator(path, ignored)) {
        entries.push_back(entry.path());
    }
    for (const std::filesystem::path& entry : entries) {
        std::filesystem::remove_all(entry, ignored);
    }
    // Otherwise a loss of power could bring old files back beside a new marker.
    return sync_folder(path);
}

tl::expected<void, storage_error> sync_folder(const std::string& path) {
    const int descriptor = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) {
        return tl::unexpected(system_error(path, "open folder"));
    }
    const int result = ::fsync(descriptor);
    ::close(descriptor);
    if (result != 0) {
        return tl::unexpected(system_error(path, "sync folder"));
    }
    return {};
}

}  // namespace tallyfold::storage
