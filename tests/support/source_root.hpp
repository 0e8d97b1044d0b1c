#pragma once
/// @file
/// Location of the repository, for tests that read its documents, policies and recorded traces.

#include <string>

namespace tallyfold::tests {

/// @return the repository's folder without a trailing slash
std::string source_root();

}  // namespace tallyfold::tests
