#pragma once
/// @file
/// Reads a TOML settings file key by key: types and ranges are checked, unknown keys refused.

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace tallyfold::settings {

/// One thing that is wrong with a file.
struct settings_problem {
    std::string file;
    std::string key;
    std::string reason;
    [[nodiscard]] std::string text() const { return file + ": " + key + ": " + reason; }
};

/// Gathers all problems, so that an operator sees them at once.
class settings_reader {
  public:
    /// Parses the file; a syntax error becomes a problem.
    explicit settings_reader(const std::string& file);
    ~settings_reader();
    settings_reader(const settings_reader&) = delete;
    settings_reader& operator=(const settings_reader&) = delete;

    /// A required text that is not empty.
    std::string text(const std::string& key);
    std::string text_or(const std::string& key, const std::string& fallback);
    /// A whole number within [low, high].
    std::int64_t integer_or(const std::string& key, std::int64_t fallback, std::int64_t low,
                            std::int64_t high);
    double real_or(const std::string& key, double fallback, double low, double high);
    /// "ip:port" with an IP number.
    std::string address(const std::string& key);
    /// A table whose values are "ip:port", by name.
    std::vector<std::pair<std::string, std::string>> address_table(const std::string& key);
    std::vector<std::string> text_list(const std::string& key);

    /// Reports keys that nobody asked for.
    void finish();
    [[nodiscard]] const std::vector<settings_problem>& problems() const { return problems_; }
    /// Keys asked for so far, for the documentation test.
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
