#include "tallyfold/plane/resources/process_limits_shell.hpp"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace tallyfold::resources {

namespace {

constexpr std::uint64_t bytes_per_mb = 1'000'000;
/// Used where the system tells no limit.
constexpr std::size_t default_descriptors = 1'024;
/// Size in bytes from which a block is mapped on its own. Setting it also keeps the allocator from
/// raising it after the first such block was freed.
constexpr int mapped_block_bytes = 128 << 10;

}  // namespace

std::uint64_t process_memory(std::uint64_t memory_mb) {
    if (memory_mb > 0) {
        return memory_mb * bytes_per_mb;
    }
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long page_size = sysconf(_SC_PAGESIZE);
    return static_cast<std::uint64_t>(std::max(0L, pages)) *
           static_cast<std::uint64_t>(std::max(0L, page_size));
}

std::size_t process_descriptors(std::size_t descriptors) {
    rlimit limit{};
    const bool known = getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const std::size_t allowed = known ? limit.rlim_cur : default_descriptors;
    return descriptors > 0 ? std::min(descriptors, allowed) : allowed;
}

void return_large_blocks() {
    mallopt(M_MMAP_THRESHOLD, mapped_block_bytes);
}

}  // namespace tallyfold::resources
