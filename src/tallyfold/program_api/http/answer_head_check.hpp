#pragma once
/// @file
/// Ends a libcurl transfer whose answer has a malformed head, which libcurl itself would accept.
/// Used by the thread that runs the transfer.

#include <curl/curl.h>

#include <string_view>

#include "tallyfold/base/net/http_syntax.hpp"

namespace tallyfold::net {

class answer_head_check {
  public:
    answer_head_check() = default;
    answer_head_check(const answer_head_check&) = delete;
    answer_head_check& operator=(const answer_head_check&) = delete;

    /// Checks the heads that `easy` receives, interim ones too. The transfer ends with an error at
    /// the first defect. @param easy must not be used after this object
    void attach(CURL* easy);
    [[nodiscard]] syntax_defect defect() const { return defect_; }

  private:
    static std::size_t on_line(char* bytes, std::size_t size, std::size_t count, void* context);
    /// @param line with its line end. @return false when the answer is malformed
    bool check_line(std::string_view line);

    CURL* easy_ = nullptr;
    http_syntax head_{message_kind::response};
    bool complete_ = false;
    syntax_defect defect_ = syntax_defect::none;
};

}  // namespace tallyfold::net
