#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::http {

std::optional<std::string_view> event_field(std::string_view line, std::string_view name) {
    if (!line.starts_with(name)) {
        return std::nullopt;
    }
    line.remove_prefix(name.size());
    if (line.starts_with(' ')) {
        line.remove_prefix(1);
    }
    return line;
}

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
    if (const auto value = event_field(line_, "data:")) {
        if (has_data_) {
            event_data_ += '\n';
        }
        event_data_ += *value;
        has_data_ = true;
    }
    line_.clear();
}

}  // namespace tallyfold::http
