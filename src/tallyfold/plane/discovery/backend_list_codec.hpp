#pragma once
/// @file
/// Interface to the deployment's format of the list of back ends, implemented by the platform
/// adapter: how to request a page and how to decode its body.

#include <string>
#include <tl/expected.hpp>

#include "tallyfold/plane/discovery/types.hpp"

namespace tallyfold::discovery {

class backend_list_codec {
  public:
    virtual ~backend_list_codec() = default;
    /// Returns the path and query of a page of the list.
    /// @param token the page's token; empty for the first page
    [[nodiscard]] virtual std::string list_target(const std::string& token) const = 0;
    /// @param body body of the response
    /// @return the page, or the reason why the body is invalid
    [[nodiscard]] virtual tl::expected<backend_page, std::string> read_list(
        const std::string& body) const = 0;
};

}  // namespace tallyfold::discovery
