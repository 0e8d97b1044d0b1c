#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::http {

void event_stream_reader::feed(std::string_view bytes) {
    while (!bytes.empty()) {
        const std::size_t end = bytes.find('\n');
        line_.append(bytes.substr(0, end));
        if (end == std::string_view::npos) {
            return;
        }
        bytes.remove_prefix(end + 1);
        end_line();
    }
}

void event_stream_reader::end_line() {
    if (!line_.empty() && line_.back() == '\r') {
        line_.pop_back();
    }
    if (line_.empty()) {
        if (has_data_) {
            data_ += event_data_;
            data_ += '\n';
            ++events_;
        }
        event_data_.clear();
        has_data_ = false;
        in_event_ = false;
        return;
    }
    in_event_ = true;
    std::string_view line = line_;
    constexpr std::string_view field = "data:";
    if (line.starts_with(field)) {
        line.remove_prefix(field.size());
        if (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        if (has_data_) {
            event_data_ += '\n';
        }
        event_data_ += line;
        has_data_ = true;
    }
    line_.clear();
}

}  // namespace tallyfold::http
