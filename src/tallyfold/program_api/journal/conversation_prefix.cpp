#include "tallyfold/program_api/journal/conversation_prefix.hpp"

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::journal {

scheduling::prefix_point extend_prefix(const scheduling::prefix_point& before,
                                       const message& added) {
    const std::uint64_t content = stable_hash(added.content, stable_hash(added.role));
    return {combine_hash(before.hash, combine_hash(content, added.tokens)),
            before.tokens + added.tokens};
}

}  // namespace tallyfold::journal
