#pragma once
/// @file
/// Simulates a loss of power for the files of a folder: a rename or a removal lasts once the
/// folder has been synced, and each one that was not may be kept or lost.

#include <set>
#include <string>

#include "tallyfold/base/common/random.hpp"
#include "tests/support/temporary_path.hpp"

namespace tallyfold::tests {

/// Observes the syncs of folders by this process. At most one object at a time.
class unsynced_folder {
  public:
    explicit unsynced_folder(const std::string& name);
    ~unsynced_folder();
    unsynced_folder(const unsynced_folder&) = delete;
    unsynced_folder& operator=(const unsynced_folder&) = delete;

    [[nodiscard]] std::string text() const { return folder_.text(); }
    [[nodiscard]] const std::filesystem::path& path() const { return folder_.path(); }
    /// Makes syncs of folders fail, so that the caller stops as if it had been killed before them.
    void refuse_syncs(bool refused) { refused_ = refused; }
    /// All entries return to those of the last sync.
    void lose_power();
    /// Each entry that has changed since the last sync is kept or lost.
    void lose_power(random_source& random);
    /// Paths of all folders that were synced.
    [[nodiscard]] const std::set<std::string>& synced_folders() const { return synced_folders_; }

    /// Called in place of fsync() for folders. @return false to fail
    bool on_sync(const std::string& folder);

  private:
    temporary_path folder_;
    /// Links to the files of the last sync.
    temporary_path durable_;
    std::set<std::string> synced_folders_;
    bool refused_ = false;
};

}  // namespace tallyfold::tests
