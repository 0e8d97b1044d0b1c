#pragma once
/// @file
/// Reads the records of a file one after the other. Holds a block of the file at a time, since a
/// segment may be larger than the memory that is left.

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
    /// @param policy how a mismatch behind the last whole record is taken
    static tl::expected<record_reader, storage_error> open(const std::string& path,
                                                           tail_policy policy);

    /// The next record's payload, valid until the next call; nothing at the end.
    tl::expected<std::optional<std::string_view>, storage_error> next();
    /// Bytes up to the end of the last whole record.
    [[nodiscard]] std::uint64_t valid_length() const { return valid_length_; }
    /// Bytes behind it, once the end has been reached.
    [[nodiscard]] std::uint64_t tail_length() const { return unread_.size(); }

  private:
    record_reader(std::string path, input_file file, tail_policy policy);

    std::string path_;
    input_file file_;
    tail_policy policy_;
    /// What was read of the file from `valid_length_` on.
    std::string block_;
    std::string_view unread_;
    std::uint64_t valid_length_ = 0;
    bool at_end_ = false;
};

}  // namespace tallyfold::storage
