#include "tallyfold/base/storage/record_reader.hpp"

namespace tallyfold::storage {

record_reader::record_reader(std::string path, input_file file, tail_policy policy)
    : path_(std::move(path)), file_(std::move(file)), policy_(policy) {}

tl::expected<record_reader, storage_error> record_reader::open(const std::string& path,
                                                               tail_policy policy) {
    auto file = input_file::open(path);
    if (!file) {
        return tl::unexpected(file.error());
    }
    return record_reader(path, std::move(*file), policy);
}

tl::expected<std::optional<std::string_view>, storage_error> record_reader::next() {
    std::uint64_t length = whole_record_length(unread_);
    while (length == 0 && !at_end_) {
        std::string block(unread_);
        const auto count = file_.read_block(block);
        if (!count) {
            return tl::unexpected(count.error());
        }
        at_end_ = *count == 0;
        block_ = std::move(block);
        unread_ = block_;
        length = whole_record_length(unread_);
    }
    if (length == 0) {
        // The rest is empty, a torn tail, or damaged; scan_records() distinguishes these.
        const auto rest = scan_records(unread_, path_, policy_);
        if (!rest) {
            return tl::unexpected(rest.error());
        }
        return std::nullopt;
    }
    const std::string_view payload =
        unread_.substr(record_header_size, length - record_header_size);
    unread_.remove_prefix(length);
    valid_length_ += length;
    return payload;
}

}  // namespace tallyfold::storage
