#pragma once
/// @file
/// How the list of back ends is asked for and spelt is not this plane's matter: it sees the list
/// through this interface.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/plane/discovery/types.hpp"

namespace tallyfold::discovery {

class backend_list_codec {
  public:
    virtual ~backend_list_codec() = default;
    /// Path and query of one page of the list. @param token empty for the first
    [[nodiscard]] virtual std::string list_target(const std::string& token) const = 0;
    [[nodiscard]] virtual tl::expected<backend_page, std::string> read_list(
        const std::string& body) const = 0;
};

}  // namespace tallyfold::discovery
