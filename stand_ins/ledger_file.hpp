#pragma once
/// @file
/// A back end's ledger as a file of JSON lines. It outlives a killed process, and the checkers
/// read it after a run. A later line about an attempt replaces the earlier one.

#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "stand_ins/backend_ledger.hpp"

namespace tallyfold::stand_ins {

class ledger_file {
  public:
    /// Opens for appending; an empty path writes nothing.
    explicit ledger_file(const std::string& path);
    /// Writes what is new: entries that started, and entries that finished since.
    void update(const std::vector<ledger_entry>& entries);

  private:
    std::ofstream file_;
    std::size_t written_ = 0;
    std::set<std::size_t> open_;
};

/// Entries of every *.ledger file in a folder, in the order of their start.
std::vector<ledger_entry> read_ledgers(const std::string& folder);

}  // namespace tallyfold::stand_ins
