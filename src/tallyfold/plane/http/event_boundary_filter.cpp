#include "tallyfold/plane/http/event_boundary_filter.hpp"

#include <charconv>
#include <optional>

#include "tallyfold/plane/http/event_stream.hpp"

namespace tallyfold::http {

namespace {

/// Position after the blank line that ends the first event; npos when it is incomplete.
std::size_t end_of_event(std::string_view bytes) {
    std::size_t line = 0;
    while (line < bytes.size()) {
        const std::size_t end = bytes.find('\n', line);
        if (end == std::string_view::npos) {
            return end;
        }
        const bool blank = end == line || (end == line + 1 && bytes[line] == '\r');
        if (blank) {
            return end + 1;
        }
        line = end + 1;
    }
    return std::string_view::npos;
}

/// Value of the event's last `id` field; empty when it has none.
std::string_view id_of(std::string_view event) {
    std::string_view id;
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        const auto value = event_field(event.substr(0, end), "id:");
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!value.has_value()) {
            continue;
        }
        id = *value;
        if (id.ends_with('\r')) {
            id.remove_suffix(1);
        }
    }
    return id;
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = failure == std::errc{} && end == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

std::string event_boundary_filter::feed(std::string_view bytes) {
    partial_ += bytes;
    std::string forwarded;
    std::string_view rest = partial_;
    while (in_order_) {
        const std::size_t end = end_of_event(rest);
        if (end == std::string_view::npos) {
            break;
        }
        const std::string_view event = rest.substr(0, end);
        if (accept_event(event)) {
            forwarded += event;
        }
        rest.remove_prefix(end);
    }
    partial_ = std::string(rest);
    if (partial_.size() > max_partial_bytes) {
        std::string().swap(partial_);
        in_order_ = false;
    }
    return forwarded;
}

bool event_boundary_filter::accept_event(std::string_view event) {
    const std::string_view id = id_of(event);
    if (id.empty()) {
        return true;
    }
    const auto number = parse_number(id);
    const auto last = parse_number(last_id_);
    if (number && last) {
        if (*number <= *last) {
            return false;
        }
        if (*number != *last + 1 && ids_consecutive_ && events_with_id_ > 1) {
            in_order_ = false;
            return false;
        }
        ids_consecutive_ = ids_consecutive_ && *number == *last + 1;
    }
    last_id_ = id;
    ++events_with_id_;
    return true;
}

}  // namespace tallyfold::http
