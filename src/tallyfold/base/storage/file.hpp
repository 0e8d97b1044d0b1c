#pragma once
/// @file
/// RAII wrappers of POSIX file descriptors, and durable file replacement.

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/storage_error.hpp"

namespace tallyfold::storage {

/// File opened for appending. After a failed write or sync, all further calls fail.
class append_file {
  public:
    static tl::expected<append_file, storage_error> create(const std::string& path);
    /// Opens an existing file, truncates it to `length` bytes and syncs it.
    static tl::expected<append_file, storage_error> open_at(const std::string& path,
                                                            std::uint64_t length);
    append_file(append_file&& other) noexcept;
    append_file& operator=(append_file&& other) noexcept;
    append_file(const append_file&) = delete;
    append_file& operator=(const append_file&) = delete;
    ~append_file();

    tl::expected<void, storage_error> append(std::string_view bytes);
    tl::expected<void, storage_error> sync();
    [[nodiscard]] std::uint64_t size() const { return size_; }

  private:
    append_file(std::string path, int descriptor, std::uint64_t size);
    tl::expected<void, storage_error> fail(std::string_view step);

    std::string path_;
    int descriptor_ = -1;
    std::uint64_t size_ = 0;
    bool failed_ = false;
};

/// File that is read sequentially, block by block.
class input_file {
  public:
    static tl::expected<input_file, storage_error> open(const std::string& path);
    input_file(input_file&& other) noexcept;
    input_file& operator=(input_file&&) = delete;
    input_file(const input_file&) = delete;
    input_file& operator=(const input_file&) = delete;
    ~input_file();

    /// Appends the next block to `target`. @return number of bytes appended; 0 at the end of file
    tl::expected<std::size_t, storage_error> read_block(std::string& target);

  private:
    input_file(std::string path, int descriptor);

    std::string path_;
    int descriptor_ = -1;
};

tl::expected<std::string, storage_error> read_file(const std::string& path);

/// Path of the temporary file that replace_file() and commit_replacement() rename to `path`.
std::string replacement_path(const std::string& path);
/// Renames the written and synced temporary file to `path` and syncs the folder.
tl::expected<void, storage_error> commit_replacement(const std::string& path);

/// Atomically replaces a file: writes and syncs a temporary file, renames it, syncs the folder.
tl::expected<void, storage_error> replace_file(const std::string& path, std::string_view bytes);

/// Overwrites a file in place with a single sync. Not atomic: a power failure may lose both the old
/// and the new contents. For pairs of files that are written alternately.
tl::expected<void, storage_error> overwrite_file(const std::string& path, std::string_view bytes);

/// Creates the folder if it is missing, and makes its entries durable. A process that was killed
/// may have renamed files without syncing the folder: what is read from them, and all that is
/// appended to them, would be lost with the power.
tl::expected<void, storage_error> open_folder(const std::string& path);

/// Removes the contents of a folder.
/// @param marker file that is removed, durably, before all others. Without it, a folder that lost
/// only some of its files to an interrupted removal could pass for a complete one.
/// @return an error when the marker can't be removed; nothing else is removed then
tl::expected<void, storage_error> remove_folder_contents(const std::string& path,
                                                         const std::string& marker);

/// Syncs the directory entries of the folder.
tl::expected<void, storage_error> sync_folder(const std::string& path);

}  // namespace tallyfold::storage
