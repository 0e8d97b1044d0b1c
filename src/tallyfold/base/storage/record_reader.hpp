#pragma once
/// @file
/// Sequential reader of the records of a file. Buffers one block or record at a time, since a
/// segment may exceed the available memory.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/storage/file.hpp"
#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::storage {

class record_reader {
  public:
    /// @param policy handling of a checksum mismatch after the last complete record
    static tl::expected<record_reader, storage_error> open(const std::string& path,
                                                           tail_policy policy);

    /// Payload of the next record, valid until the next call; nothing at the end.
    tl::expected<std::optional<std::string_view>, storage_error> next();
    /// Bytes up to the end of the last complete record.
    [[nodiscard]] std::uint64_t valid_length() const { return valid_length_; }
    /// Bytes after valid_length(), once the end of the file has been reached.
    [[nodiscard]] std::uint64_t tail_length() const { return unread_.size(); }

  private:
    record_reader(std::string path, input_file file, tail_policy policy);

    std::string path_;
    input_file file_;
    tail_policy policy_;
    /// Bytes of the file that were read last; `unread_` is its part from `valid_length_` on.
    std::string block_;
    std::string_view unread_;
    std::uint64_t valid_length_ = 0;
    bool at_end_ = false;
};

}  // namespace tallyfold::storage
