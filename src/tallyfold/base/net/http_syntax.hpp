#pragma once
/// @file
/// Strict check of the lines of an HTTP/1.1 message (RFC 9112): start line, header fields, and the
/// chunk lines and trailer fields of a chunked body. Pure; owns the position in the current line.
///
/// Complements http_parser and libcurl, which accept some lines that aren't HTTP: blanks in field
/// names, any byte after a CR, statuses of any number of digits. A recipient that reads such a line
/// differently would see another message than this process.

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace tallyfold::net {

enum class message_kind : std::uint8_t { request, response };

/// What makes a message malformed.
enum class syntax_defect : std::uint8_t {
    none,
    /// Refused by the parser itself, in whatever part.
    unparsable,
    start_line,
    version,
    /// Not three digits, or not the status of an answer to a request without an upgrade.
    status,
    /// A field name that is empty or not a token, a field without a colon, or a continuation line
    /// without a field.
    field_name,
    /// A control character other than a tab, outside the body.
    control_character,
    /// A CR without LF, or a LF without CR in the framing of a chunked body.
    line_end,
    /// A chunk's size line, or the line end after its data.
    chunk,
    /// A transfer coding other than `chunked`, or more than one.
    transfer_coding,
    /// A content length that is not a number.
    content_length,
    /// A protocol upgrade, which is not supported.
    upgrade,
};

/// Name of the defect in log lines.
std::string_view name_of(syntax_defect defect);

/// True when an answer to a request without an upgrade may have this status (RFC 9110, 15).
[[nodiscard]] bool is_answer_status(unsigned status);

class http_syntax {
  public:
    explicit http_syntax(message_kind kind) : kind_(kind) {}

    /// Checks further bytes of the message, which may be split anywhere. The bytes of the body are
    /// left out.
    /// @return the first defect; every later call returns it too
    syntax_defect check(std::string_view bytes);

  private:
    enum class section : std::uint8_t {
        start_line,
        fields,
        chunk_size,
        /// Blanks between the size of a chunk and its extension.
        chunk_blanks,
        chunk_extension,
        /// The line end after a chunk's data.
        chunk_end,
        trailers,
        end,
    };
    enum class field_part : std::uint8_t { name, value };

    /// Number of bytes at the beginning that are text of the current line wherever they stand.
    [[nodiscard]] std::size_t plain_run(std::string_view bytes) const;
    syntax_defect check_byte(char byte);
    syntax_defect check_text(char byte);
    syntax_defect check_start_line(char byte);
    syntax_defect check_status_line(char byte) const;
    syntax_defect check_field(char byte);
    syntax_defect check_chunk_size(char byte);
    syntax_defect end_line();
    syntax_defect end_start_line();
    syntax_defect end_field(section next);
    syntax_defect end_chunk_size();
    void begin_section(section next);

    message_kind kind_;
    section section_ = section::start_line;
    field_part field_part_ = field_part::name;
    syntax_defect defect_ = syntax_defect::none;
    /// Number of bytes of the current line so far, without its end.
    std::size_t line_length_ = 0;
    /// The section has a field, which a continuation line may extend.
    bool has_field_ = false;
    /// All digits of the chunk's size so far are zero.
    bool is_last_chunk_ = true;
    bool after_cr_ = false;
};

}  // namespace tallyfold::net
