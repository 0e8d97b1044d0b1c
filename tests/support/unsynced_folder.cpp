#include "tests/support/unsynced_folder.hpp"

#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>

namespace tallyfold::tests {

namespace {

namespace fs = std::filesystem;

unsynced_folder* observer = nullptr;

bool is_folder(int descriptor) {
    struct stat status {};
    return ::fstat(descriptor, &status) == 0 && S_ISDIR(status.st_mode);
}

std::set<std::string> files_in(const fs::path& folder) {
    std::set<std::string> names;
    for (const auto& entry : fs::directory_iterator(folder)) {
        if (entry.is_regular_file()) {
            names.insert(entry.path().filename().string());
        }
    }
    return names;
}

/// Makes the entry `name` of `target` the same as in `source`.
void copy_entry(const fs::path& source, const fs::path& target, const std::string& name) {
    fs::remove(target / name);
    if (fs::exists(source / name)) {
        fs::create_hard_link(source / name, target / name);
    }
}

bool same_entry(const fs::path& first, const fs::path& second) {
    return fs::exists(first) && fs::exists(second) && fs::equivalent(first, second);
}

}  // namespace

unsynced_folder::unsynced_folder(const std::string& name)
    : folder_(name), durable_(name + "-durable") {
    fs::create_directories(folder_.path());
    fs::create_directories(durable_.path());
    observer = this;
}

unsynced_folder::~unsynced_folder() {
    observer = nullptr;
}

bool unsynced_folder::on_sync(const std::string& folder) {
    if (refused_) {
        return false;
    }
    synced_folders_.insert(folder);
    if (folder == text()) {
        std::set<std::string> names = files_in(path());
        names.merge(files_in(durable_.path()));
        for (const std::string& name : names) {
            copy_entry(path(), durable_.path(), name);
        }
    }
    return true;
}

void unsynced_folder::lose_power() {
    std::set<std::string> names = files_in(path());
    names.merge(files_in(durable_.path()));
    for (const std::string& name : names) {
        copy_entry(durable_.path(), path(), name);
    }
}

void unsynced_folder::lose_power(random_source& random) {
    std::set<std::string> names = files_in(path());
    names.merge(files_in(durable_.path()));
    for (const std::string& name : names) {
        const bool changed = !same_entry(path() / name, durable_.path() / name);
        if (changed && random.chance(0.5)) {
            copy_entry(durable_.path(), path(), name);
        }
    }
}

}  // namespace tallyfold::tests

/// Replaces the system's function in the test program.
extern "C" int fsync(int descriptor) {
    using tallyfold::tests::observer;
    if (observer != nullptr && tallyfold::tests::is_folder(descriptor)) {
        const std::string path =
            std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(descriptor)).string();
        if (!observer->on_sync(path)) {
            errno = EIO;
            return -1;
        }
    }
    return static_cast<int>(::syscall(SYS_fsync, descriptor));
}
