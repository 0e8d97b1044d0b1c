#pragma once
/// @file
/// Reads a TOML settings file key by key. Checks types and ranges, and refuses unknown keys.

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tallyfold::settings {

/// Error in a settings file.
struct settings_problem {
    std::string file;
    std::string key;
    std::string reason;
    [[nodiscard]] std::string text() const { return file + ": " + key + ": " + reason; }
};

/// Collects all problems instead of stopping at the first, so that an operator sees them together.
class settings_reader {
  public:
    /// Parses the file; an unreadable file or a syntax error is recorded as a problem.
    explicit settings_reader(const std::string& file);
    ~settings_reader();
    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;

    /// Required non-empty string.
    std::string text(const std::string& key);
    std::string text_or(const std::string& key, const std::string& fallback);
    /// Integer in [low, high]; `fallback` when the key is missing or invalid.
    std::int64_t integer_or(const std::string& key, std::int64_t fallback, std::int64_t low,
                            std::int64_t high);
    double real_or(const std::string& key, double fallback, double low, double high);
    /// Required address "ip:port" with a numeric IP address.
    std::string address(const std::string& key);
    /// Required table of "ip:port" addresses by name.
    std::vector<std::pair<std::string, std::string>> address_table(const std::string& key);
    std::vector<std::string> text_list(const std::string& key);

    /// Records a problem for each top-level key of the file that was never read.
    void finish();
    [[nodiscard]] const std::vector<settings_problem>& problems() const { return problems_; }
    /// Keys read so far; a test checks that they are documented.
    [[nodiscard]] const std::set<std::string>& known_keys() const { return known_; }
    void problem(const std::string& key, const std::string& reason);

  private:
    struct parsed_file;
    std::string file_;
    std::unique_ptr<parsed_file> parsed_;
    std::set<std::string> known_;
    std::vector<settings_problem> problems_;
};

}  // namespace tallyfold::settings
