#include "tests/support/source_root.hpp"

namespace tallyfold::tests {

std::string source_root() {
    return TALLYFOLD_SOURCE_ROOT;
}

}  // namespace tallyfold::tests
