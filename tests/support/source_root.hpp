#pragma once
/// @file
/// Where the repository lies, for tests that read its pages, policies and recorded traces.

#include <string>

namespace tallyfold::tests {

/// The repository's folder, without a slash at its end.
std::string source_root();

}  // namespace tallyfold::tests
