#pragma once
/// @file
/// A unique path for a test in the system's folder for temporary files.

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace tallyfold::tests {

/// Removes what exists at the path on construction and destruction. Paths are unique per object,
/// since CppUnit constructs all fixtures of a suite before it runs the first test.
class temporary_path {
  public:
    explicit temporary_path(const std::string& name)
        : path_(std::filesystem::temp_directory_path() /
                ("tallyfold-" + name + "-" + std::to_string(getpid()) + "-" +
                 std::to_string(++count_))) {
        std::filesystem::remove_all(path_);
    }
    ~temporary_path() { std::filesystem::remove_all(path_); }
    temporary_path(const temporary_path&) = delete;
    temporary_path& operator=(const temporary_path&) = delete;

    [[nodiscard]] const std::filesystem::path& path() const { return path_; }
    [[nodiscard]] std::string text() const { return path_.string(); }
    /// Replaces the file's contents. @return its path
    std::string write(const std::string& contents) const {
        std::ofstream(path_, std::ios::binary | std::ios::trunc) << contents;
        return text();
    }

  private:
    inline static int count_ = 0;
    std::filesystem::path path_;
};

}  // namespace tallyfold::tests
