#pragma once
/// @file
/// A log of records in numbered files of one folder. Only the newest counts; it is written anew,
/// from what still matters, once it has grown enough. Not thread-safe.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/file.hpp"
#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::storage {

/// Adds the next records of a new segment to `bytes`. @return false once there are none left; what
/// it added to `bytes` then is the last part
using segment_chunk_source = std::function<bool(std::string& bytes)>;

class segmented_log {
  public:
    /// @param prefix of the segments' names, which end with their number
    /// @param segment_bytes size up to which a segment is not written anew
    segmented_log(std::string folder, std::string prefix, std::uint64_t segment_bytes);

    /// Reads the newest segment back, or begins an empty one. @param on_payload gets each record's
    /// payload in order, and may refuse it
    tl::expected<void, storage_error> open(
        tail_policy tail,
        const std::function<tl::expected<void, storage_error>(std::string_view payload)>&
            on_payload);
    /// Adds records and syncs them. After an error, only rewrite() makes the log usable again.
    tl::expected<void, storage_error> append(std::string_view records);
    /// Begins a new segment, page by page, and removes the older ones. After an error the log may
    /// have failed.
    tl::expected<void, storage_error> rewrite(const segment_chunk_source& next_chunk);
    /// True when the segment is large, and at least twice what it began with: the live records
    /// alone may be larger than `segment_bytes`, and writing them anew has to pay.
    [[nodiscard]] bool needs_rewrite() const;
    [[nodiscard]] bool failed() const { return failed_; }

    /// Bytes of a half-written tail that open() left out.
    [[nodiscard]] std::uint64_t truncated_bytes() const { return truncated_bytes_; }
    /// Path of the newest segment, for messages.
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

/// Removes the files of `folder` of which `is_stale` is true; one that stays is found again at
/// the next start.
void remove_files(const std::string& folder,
                  const std::function<bool(const std::string& name)>& is_stale);

}  // namespace tallyfold::storage
