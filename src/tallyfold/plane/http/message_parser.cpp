#include "tallyfold/plane/http/message_parser.hpp"

#include <http_parser.h>

#include <algorithm>

namespace tallyfold::http {

namespace {

bool is_number(std::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

}  // namespace

struct message_parser::state {
    http_parser parser{};
    net::http_syntax syntax{message_kind::request};
    syntax_defect defect = syntax_defect::none;
    /// First byte of the input that `syntax` hasn't checked.
    const char* unchecked = nullptr;
    message_kind kind = message_kind::request;
    std::size_t max_head_bytes = 0;
    /// Memory of a stored field beside its text, in bytes. The list has up to twice the room that
    /// its fields need.
    static constexpr std::size_t field_overhead = 2 * sizeof(header_field);
    std::size_t head_bytes = 0;
    /// Memory of the stored fields.
    std::size_t field_memory = 0;
    message_head head;
    std::string field_name;
    std::string field_value;
    bool in_value = false;
    bool started = false;
    bool head_complete = false;
    bool complete = false;
    std::string body;

    void reset() {
        http_parser_init(&parser, kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        syntax = net::http_syntax(kind);
        defect = syntax_defect::none;
        head = {};
        std::string().swap(field_name);
        std::string().swap(field_value);
        in_value = false;
        started = false;
        head_complete = false;
        complete = false;
        head_bytes = 0;
        field_memory = 0;
        std::string().swap(body);
    }

    void append_field_name(std::string_view part) {
        if (head_complete) {
            // Trailer fields are not used.
            return;
        }
        if (in_value) {
            store_field();
        }
        field_name += part;
    }

    void append_field_value(std::string_view part) {
        if (head_complete) {
            return;
        }
        in_value = true;
        field_value += part;
    }

    void store_field() {
        if (!field_name.empty()) {
            field_memory += field_overhead + field_name.size() + field_value.size();
            head.headers.add(std::move(field_name), std::move(field_value));
        }
        field_name.clear();
        field_value.clear();
        in_value = false;
    }

    /// Checks the input before `end`, none of which belongs to the body. @return false when it is
    /// malformed
    bool check_syntax_until(const char* end) {
        const auto length = static_cast<std::size_t>(end - unchecked);
        record_defect(syntax.check({unchecked, length}));
        unchecked = end;
        return defect == syntax_defect::none;
    }

    void record_defect(syntax_defect found) {
        if (defect == syntax_defect::none) {
            defect = found;
        }
    }

    /// Defect of a complete head whose lines are well-formed.
    [[nodiscard]] syntax_defect head_defect() const {
        if (parser.http_major != 1) {
            return syntax_defect::version;
        }
        if (kind == message_kind::response && !net::is_answer_status(parser.status_code)) {
            return syntax_defect::status;
        }
        return framing_field_defect();
    }

    [[nodiscard]] syntax_defect framing_field_defect() const {
        int codings = 0;
        for (const header_field& field : head.headers.fields()) {
            if (same_name(field.name, "Transfer-Encoding")) {
                ++codings;
                if (!same_name(trimmed(field.value), "chunked")) {
                    return syntax_defect::transfer_coding;
                }
            }
            if (same_name(field.name, "Content-Length") && !is_number(trimmed(field.value))) {
                return syntax_defect::content_length;
            }
        }
        return codings > 1 ? syntax_defect::transfer_coding : syntax_defect::none;
    }

    /// Approximate size of the head on the wire, in bytes.
    [[nodiscard]] std::size_t approximate_head_size() const {
        // The colon and the space of a field, and CR LF.
        constexpr std::size_t line_overhead = 4;
        std::size_t size = head.target.size() + line_overhead;
        for (const header_field& field : head.headers.fields()) {
            size += field.name.size() + field.value.size() + line_overhead;
        }
        return size;
    }

    /// @return false when the head is malformed
    bool finish_head() {
        store_field();
        record_defect(head_defect());
        head_complete = true;
        head.status = parser.status_code;
        if (kind == message_kind::request) {
            head.method = http_method_str(static_cast<http_method>(parser.method));
        }
        head.keep_alive = http_should_keep_alive(&parser) != 0;
        head.framing = framing();
        if (head.framing == body_framing::length) {
            head.content_length = parser.content_length;
        }
        return defect == syntax_defect::none;
    }

    [[nodiscard]] bool status_forbids_body() const {
        const unsigned status = parser.status_code;
        return kind == message_kind::response &&
               (status / 100 == 1 || status == 204 || status == 304);
    }

    [[nodiscard]] body_framing framing() const {
        if (status_forbids_body()) {
            return body_framing::none;
        }
        if ((parser.flags & F_CHUNKED) != 0) {
            return body_framing::chunked;
        }
        if ((parser.flags & F_CONTENTLENGTH) != 0) {
            return body_framing::length;
        }
        return kind == message_kind::response ? body_framing::until_close : body_framing::none;
    }
};

namespace {

/// Results of http_parser's callbacks. Those of on_headers_complete above 1 have meanings of their
/// own.
constexpr int proceed = 0;
constexpr int fail = -1;

/// The state object that a callback's parser belongs to.
template <class State>
State& state_of(http_parser* parser) {
    return *static_cast<State*>(parser->data);
}

}  // namespace

message_parser::message_parser(message_kind kind, std::size_t max_head_bytes)
    : state_(std::make_unique<state>()) {
    state_->kind = kind;
    state_->max_head_bytes = max_head_bytes;
    state_->reset();
}

message_parser::~message_parser() = default;

const http_parser_settings& message_parser::callbacks() {
    static const http_parser_settings handlers = [] {
        http_parser_settings settings;
        http_parser_settings_init(&settings);
        settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            state_of<state>(parser).head.target.append(at, length);
            return proceed;
        };
        settings.on_header_field = [](http_parser* parser, const char* at, std::size_t length) {
            state_of<state>(parser).append_field_name({at, length});
            return proceed;
        };
        settings.on_header_value = [](http_parser* parser, const char* at, std::size_t length) {
            state_of<state>(parser).append_field_value({at, length});
            return proceed;
        };
        settings.on_headers_complete = [](http_parser* parser) {
            return state_of<state>(parser).finish_head() ? proceed : fail;
        };
        settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            auto& current = state_of<state>(parser);
            if (!current.check_syntax_until(at)) {
                return fail;
            }
            current.body.append(at, length);
            current.unchecked = at + length;
            return proceed;
        };
        settings.on_message_complete = [](http_parser* parser) {
            state_of<state>(parser).complete = true;
            // Pauses, since the following bytes belong to the next message.
            http_parser_pause(parser, 1);
            return proceed;
        };
        return settings;
    }();
    return handlers;
}

bool message_parser::head_fits(std::size_t consumed) {
    state_->head_bytes += consumed;
    const std::size_t size =
        state_->head_complete ? state_->approximate_head_size() : state_->head_bytes;
    return size <= state_->max_head_bytes;
}

tl::expected<std::size_t, parse_failure> message_parser::feed(std::string_view bytes) {
    if (bytes.empty()) {
        return 0;
    }
    state_->started = true;
    const bool in_head = !state_->head_complete;
    state_->unchecked = bytes.data();
    const std::size_t consumed =
        http_parser_execute(&state_->parser, &callbacks(), bytes.data(), bytes.size());
    const http_errno failure = HTTP_PARSER_ERRNO(&state_->parser);
    if (in_head && (!head_fits(consumed) || failure == HPE_HEADER_OVERFLOW)) {
        return tl::unexpected(parse_failure::head_too_large);
    }
    if (!state_->check_syntax_until(std::max(state_->unchecked, bytes.data() + consumed))) {
        return tl::unexpected(parse_failure::malformed);
    }
    if (failure == HPE_PAUSED) {
        http_parser_pause(&state_->parser, 0);
        return consumed;
    }
    if (failure != HPE_OK || state_->parser.upgrade != 0) {
        state_->record_defect(state_->parser.upgrade != 0 ? syntax_defect::upgrade
                                                          : syntax_defect::unparsable);
        return tl::unexpected(parse_failure::malformed);
    }
    return consumed;
}

syntax_defect message_parser::defect() const {
    return state_->defect;
}

bool message_parser::finish() {
    if (state_->complete) {
        return true;
    }
    const bool ends_at_close =
        state_->head_complete && state_->head.framing == body_framing::until_close;
    state_->complete = ends_at_close;
    return ends_at_close;
}

bool message_parser::head_complete() const {
    return state_->head_complete;
}
bool message_parser::complete() const {
    return state_->complete;
}
bool message_parser::started() const {
    return state_->started;
}
const message_head& message_parser::head() const {
    return state_->head;
}

message_head message_parser::take_head() {
    message_head taken = std::move(state_->head);
    state_->head = {};
    state_->head.framing = taken.framing;
    state_->head.content_length = taken.content_length;
    state_->head.keep_alive = taken.keep_alive;
    state_->field_memory = 0;
    return taken;
}

std::size_t message_parser::head_memory() const {
    return state_->field_memory + state_->field_name.size() + state_->field_value.size() +
           state_->head.target.size();
}

std::string message_parser::take_body() {
    std::string taken;
    taken.swap(state_->body);
    return taken;
}

void message_parser::next_message() {
    state_->reset();
}

}  // namespace tallyfold::http
