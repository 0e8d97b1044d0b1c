#pragma once
/// @file
/// Interface to the deployment's form of the list of back ends, implemented by the platform
/// adapter: how a page is requested, and how its body is decoded.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/plane/discovery/types.hpp"

namespace tallyfold::discovery {

class backend_list_codec {
  public:
    virtual ~backend_list_codec() = default;
    /// Path and query of one page of the list. @param token empty for the first
    [[nodiscard]] virtual std::string list_target(const std::string& token) const = 0;
    /// @param body of the answer @return the page, or why the body isn't one
    [[nodiscard]] virtual tl::expected<backend_page, std::string> read_list(
        const std::string& body) const = 0;
};

}  // namespace tallyfold::discovery
