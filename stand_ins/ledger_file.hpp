#pragma once
/// @file
/// A back end's ledger in a file of JSON lines, which survives a kill of the process. The checkers
/// read it after a run. A later line of an attempt replaces the earlier one.

#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "stand_ins/backend_ledger.hpp"

namespace tallyfold::stand_ins {

class ledger_file {
  public:
    /// Opens the file for appending. With an empty path, nothing is written.
    explicit ledger_file(const std::string& path);
    /// Appends the entries that started or finished since the last call.
    void update(const std::vector<ledger_entry>& entries);

  private:
    std::ofstream file_;
    std::size_t written_ = 0;
    std::set<std::size_t> open_;
};

/// Entries of all *.ledger files in a folder, ordered by start time.
std::vector<ledger_entry> read_ledgers(const std::string& folder);

}  // namespace tallyfold::stand_ins
