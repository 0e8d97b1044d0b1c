#include "tallyfold/program_api/http/answer_head_check.hpp"

namespace tallyfold::net {

void answer_head_check::attach(CURL* easy) {
    easy_ = easy;
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &answer_head_check::on_line);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
}

std::size_t answer_head_check::on_line(char* bytes, std::size_t size, std::size_t count,
                                       void* context) {
    auto* check = static_cast<answer_head_check*>(context);
    const std::size_t length = size * count;
    // libcurl ends the transfer when the callback takes fewer bytes than it was given.
    return check->check_line({bytes, length}) ? length : 0;
}

bool answer_head_check::check_line(std::string_view line) {
    if (complete_ && !line.starts_with("HTTP/")) {
        // A trailer field, which isn't used.
        return true;
    }
    if (complete_) {
        // The head before was an interim one.
        head_ = http_syntax(message_kind::response);
        complete_ = false;
    }
    defect_ = head_.check(line);
    complete_ = line == "\r\n" || line == "\n";
    if (complete_ && defect_ == syntax_defect::none) {
        long status = 0;
        curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &status);
        const bool known = status > 0 && is_answer_status(static_cast<unsigned>(status));
        defect_ = known ? syntax_defect::none : syntax_defect::status;
    }
    return defect_ == syntax_defect::none;
}

}  // namespace tallyfold::net
