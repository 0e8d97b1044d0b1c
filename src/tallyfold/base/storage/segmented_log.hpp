#pragma once
/// @file
/// Log of records in numbered segment files of a folder. Only the newest segment is valid; once it
/// has grown enough, it is replaced by a new segment with the live records. Not thread-safe.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/file.hpp"
#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::storage {

/// Appends the next records of a new segment to `bytes`. @return false when this was the last part
using segment_chunk_source = std::function<bool(std::string& bytes)>;

class segmented_log {
  public:
    /// @param prefix file name of a segment without its number
    /// @param segment_bytes size up to which a segment is not rewritten
    segmented_log(std::string folder, std::string prefix, std::uint64_t segment_bytes);

    /// Reads the newest segment, or creates an empty one. @param on_payload receives each record's
    /// payload in order; its error aborts the call
    tl::expected<void, storage_error> open(
        tail_policy tail,
        const std::function<tl::expected<void, storage_error>(std::string_view payload)>&
            on_payload);
    /// Appends records and syncs them. After an error, the log is unusable until rewrite()
    /// succeeds.
    tl::expected<void, storage_error> append(std::string_view records);
    /// Writes a new segment chunk by chunk and removes older ones. After an error the log may be
    /// unusable: see failed().
    tl::expected<void, storage_error> rewrite(const segment_chunk_source& next_chunk);
    /// True when the segment exceeds `segment_bytes` and twice its initial size. The second
    /// condition bounds the cost of rewrites when the live records alone exceed `segment_bytes`.
    [[nodiscard]] bool needs_rewrite() const;
    [[nodiscard]] bool failed() const { return failed_; }

    /// Bytes of a torn tail that open() truncated.
    [[nodiscard]] std::uint64_t truncated_bytes() const { return truncated_bytes_; }
    /// Path of the newest segment, for error messages.
    [[nodiscard]] std::string path() const { return path_of(number_); }

  private:
    [[nodiscard]] std::string path_of(std::uint64_t number) const;
    tl::expected<std::uint64_t, storage_error> write_replacement(
        const std::string& path, const segment_chunk_source& next_chunk);
    void remove_older_segments();

    std::string folder_;
    std::string prefix_;
    std::uint64_t segment_bytes_;
    std::uint64_t number_ = 0;
    std::uint64_t initial_bytes_ = 0;
    std::optional<append_file> file_;
    std::uint64_t truncated_bytes_ = 0;
    bool failed_ = false;
};

/// Removes the files of `folder` for which `is_stale` returns true. A file that can't be removed
/// is skipped; the next call tries again.
void remove_files(const std::string& folder,
                  const std::function<bool(const std::string& name)>& is_stale);

}  // namespace tallyfold::storage
