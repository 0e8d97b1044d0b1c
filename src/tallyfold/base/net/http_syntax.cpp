#include "tallyfold/base/net/http_syntax.hpp"

#include <algorithm>
#include <array>

namespace tallyfold::net {

namespace {

constexpr std::string_view version_prefix = "HTTP/";
/// Positions in "HTTP/1.1 200 OK".
constexpr std::size_t version_end = 8;
constexpr std::size_t status_begin = 9;
constexpr std::size_t status_end = 12;

constexpr bool is_digit(char byte) {
    return byte >= '0' && byte <= '9';
}

constexpr bool is_letter(char byte) {
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
}

bool is_hex_digit(char byte) {
    return is_digit(byte) || (byte >= 'a' && byte <= 'f') || (byte >= 'A' && byte <= 'F');
}

bool is_blank(char byte) {
    return byte == ' ' || byte == '\t';
}

bool is_control(char byte) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    const auto code = static_cast<unsigned char>(byte);
    return code < first_printable || code == delete_character;
}

constexpr std::size_t byte_values = 256;

/// Which bytes are characters of a token (RFC 9110, 5.6.2).
constexpr std::array<bool, byte_values> token_bytes = [] {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    std::array<bool, byte_values> bytes{};
    for (std::size_t value = 0; value < byte_values; ++value) {
        const char byte = static_cast<char>(value);
        bytes[value] =
            is_digit(byte) || is_letter(byte) || marks.find(byte) != std::string_view::npos;
    }
    return bytes;
}();

bool is_token(char byte) {
    return token_bytes[static_cast<unsigned char>(byte)];
}

}  // namespace

std::string_view name_of(syntax_defect defect) {
    switch (defect) {
        case syntax_defect::none:
            return "none";
        case syntax_defect::unparsable:
            return "unparsable";
        case syntax_defect::start_line:
            return "start_line";
        case syntax_defect::version:
            return "version";
        case syntax_defect::status:
            return "status";
        case syntax_defect::field_name:
            return "field_name";
        case syntax_defect::control_character:
            return "control_character";
        case syntax_defect::line_end:
            return "line_end";
        case syntax_defect::chunk:
            return "chunk";
        case syntax_defect::transfer_coding:
            return "transfer_coding";
        case syntax_defect::content_length:
            return "content_length";
        case syntax_defect::upgrade:
            return "upgrade";
    }
    return "unknown";
}

bool is_answer_status(unsigned status) {
    constexpr unsigned first_status = 100;
    constexpr unsigned end_of_statuses = 600;
    constexpr unsigned switching_protocols = 101;
    return status >= first_status && status < end_of_statuses && status != switching_protocols;
}

syntax_defect http_syntax::check(std::string_view bytes) {
    while (defect_ == syntax_defect::none) {
        const std::size_t run = plain_run(bytes);
        line_length_ += run;
        bytes.remove_prefix(run);
        if (bytes.empty()) {
            break;
        }
        defect_ = check_byte(bytes.front());
        bytes.remove_prefix(1);
    }
    return defect_;
}

std::size_t http_syntax::plain_run(std::string_view bytes) const {
    if (after_cr_ || line_length_ == 0) {
        return 0;
    }
    const bool in_field = section_ == section::fields || section_ == section::trailers;
    const bool in_value = in_field && field_part_ == field_part::value;
    const bool in_request_line = section_ == section::start_line && kind_ == message_kind::request;
    const auto* end = bytes.begin();
    if (in_value || in_request_line || section_ == section::chunk_extension) {
        end = std::find_if(bytes.begin(), bytes.end(), is_control);
    } else if (in_field) {
        end = std::find_if_not(bytes.begin(), bytes.end(), is_token);
    }
    return static_cast<std::size_t>(end - bytes.begin());
}

syntax_defect http_syntax::check_byte(char byte) {
    if (after_cr_) {
        after_cr_ = false;
        return byte == '\n' ? end_line() : syntax_defect::line_end;
    }
    if (byte == '\r') {
        after_cr_ = true;
        return syntax_defect::none;
    }
    if (byte == '\n') {
        // Other readers end a chunk's line here, where http_parser reads on.
        const bool in_chunk_line = section_ != section::start_line && section_ != section::fields &&
                                   section_ != section::trailers;
        return in_chunk_line ? syntax_defect::line_end : end_line();
    }
    if (is_control(byte) && byte != '\t') {
        return syntax_defect::control_character;
    }
    const syntax_defect found = check_text(byte);
    ++line_length_;
    return found;
}

syntax_defect http_syntax::check_text(char byte) {
    switch (section_) {
        case section::start_line:
            return check_start_line(byte);
        case section::fields:
        case section::trailers:
            return check_field(byte);
        case section::chunk_size:
            return check_chunk_size(byte);
        case section::chunk_blanks:
            if (byte == ';') {
                section_ = section::chunk_extension;
            }
            return byte == ';' || is_blank(byte) ? syntax_defect::none : syntax_defect::chunk;
        case section::chunk_extension:
            return syntax_defect::none;
        case section::chunk_end:
        case section::end:
            break;
    }
    return syntax_defect::chunk;
}

syntax_defect http_syntax::check_start_line(char byte) {
    if (kind_ == message_kind::response) {
        return check_status_line(byte);
    }
    return byte == '\t' ? syntax_defect::start_line : syntax_defect::none;
}

syntax_defect http_syntax::check_status_line(char byte) const {
    if (line_length_ < version_prefix.size()) {
        return byte == version_prefix[line_length_] ? syntax_defect::none
                                                    : syntax_defect::start_line;
    }
    if (line_length_ < version_end) {
        return byte == '.' || is_digit(byte) ? syntax_defect::none : syntax_defect::version;
    }
    if (line_length_ == version_end || line_length_ == status_end) {
        return byte == ' ' ? syntax_defect::none : syntax_defect::status;
    }
    if (line_length_ >= status_begin && line_length_ < status_end) {
        return is_digit(byte) ? syntax_defect::none : syntax_defect::status;
    }
    return syntax_defect::none;
}

syntax_defect http_syntax::check_field(char byte) {
    if (line_length_ == 0) {
        const bool is_continuation = is_blank(byte);
        if (is_continuation && !has_field_) {
            return syntax_defect::field_name;
        }
        field_part_ = is_continuation ? field_part::value : field_part::name;
    }
    if (field_part_ == field_part::value) {
        return syntax_defect::none;
    }
    if (byte == ':' && line_length_ > 0) {
        field_part_ = field_part::value;
        return syntax_defect::none;
    }
    return is_token(byte) ? syntax_defect::none : syntax_defect::field_name;
}

syntax_defect http_syntax::check_chunk_size(char byte) {
    if (is_hex_digit(byte)) {
        is_last_chunk_ = is_last_chunk_ && byte == '0';
        return syntax_defect::none;
    }
    if (line_length_ == 0) {
        return syntax_defect::chunk;
    }
    if (byte == ';' || is_blank(byte)) {
        section_ = byte == ';' ? section::chunk_extension : section::chunk_blanks;
        return syntax_defect::none;
    }
    return syntax_defect::chunk;
}

syntax_defect http_syntax::end_line() {
    switch (section_) {
        case section::start_line:
            return end_start_line();
        case section::fields:
            return end_field(section::chunk_size);
        case section::trailers:
            return end_field(section::end);
        case section::chunk_size:
        case section::chunk_blanks:
        case section::chunk_extension:
            return end_chunk_size();
        case section::chunk_end:
            // Any other byte of this line is a defect already.
            begin_section(section::chunk_size);
            return syntax_defect::none;
        case section::end:
            break;
    }
    return syntax_defect::line_end;
}

syntax_defect http_syntax::end_start_line() {
    if (line_length_ == 0) {
        // Empty lines before a message are ignored (RFC 9112, 2.2).
        return syntax_defect::none;
    }
    const bool is_short = kind_ == message_kind::response && line_length_ < status_end;
    begin_section(section::fields);
    return is_short ? syntax_defect::status : syntax_defect::none;
}

syntax_defect http_syntax::end_field(section next) {
    if (line_length_ == 0) {
        begin_section(next);
        return syntax_defect::none;
    }
    line_length_ = 0;
    has_field_ = true;
    return field_part_ == field_part::value ? syntax_defect::none : syntax_defect::field_name;
}

syntax_defect http_syntax::end_chunk_size() {
    if (line_length_ == 0) {
        return syntax_defect::chunk;
    }
    begin_section(is_last_chunk_ ? section::trailers : section::chunk_end);
    return syntax_defect::none;
}

void http_syntax::begin_section(section next) {
    section_ = next;
    line_length_ = 0;
    has_field_ = false;
    is_last_chunk_ = true;
}

}  // namespace tallyfold::net
