#pragma once
/// @file
/// Thin owners of POSIX file calls, with the syncs that make a file last.

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/storage_error.hpp"

namespace tallyfold::storage {

/// A file opened for appending. A failed write or sync is final for the handle.
class append_file {
  public:
    static tl::expected<append_file, storage_error> create(const std::string& path);
    /// Opens an existing file and cuts it to `length`.
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

/// A file that is read from its start, block by block.
class input_file {
  public:
    static tl::expected<input_file, storage_error> open(const std::string& path);
    input_file(input_file&& other) noexcept;
    input_file& operator=(input_file&&) = delete;
    input_file(const input_file&) = delete;
    input_file& operator=(const input_file&) = delete;
    ~input_file();

    /// Adds the next block to `target`. @return bytes added; 0 at the end of the file
    tl::expected<std::size_t, storage_error> read_block(std::string& target);

  private:
    input_file(std::string path, int descriptor);

    std::string path_;
    int descriptor_ = -1;
};

tl::expected<std::string, storage_error> read_file(const std::string& path);

/// The temporary file that replace_file() and commit_replacement() put in the place of `path`.
std::string replacement_path(const std::string& path);
/// Puts the written and synced replacement in the place of `path`: rename, sync of the folder.
tl::expected<void, storage_error> commit_replacement(const std::string& path);

/// Makes a file appear whole or not at all: temporary file, sync, rename, sync of the folder.
tl::expected<void, storage_error> replace_file(const std::string& path, std::string_view bytes);

/// Writes a file's contents anew in place, with a single sync: the old contents are gone as soon
/// as it begins, so a lost power may leave neither. For pairs of files that are written in turn.
tl::expected<void, storage_error> overwrite_file(const std::string& path, std::string_view bytes);

/// Removes everything in the folder, as far as that is possible.
void empty_folder(const std::string& path);

/// Syncs the folder's own entries (names of files).
tl::expected<void, storage_error> sync_folder(const std::string& path);

}  // namespace tallyfold::storage
