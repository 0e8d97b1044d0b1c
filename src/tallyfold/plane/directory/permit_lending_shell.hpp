#pragma once
/// @file
/// Lends tenants' permits while this node is the directory's leader. Owns the lender; uses the core
/// for leadership and the limits in force. Runs on the loop thread.

#include <memory>
#include <optional>

#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/process/node_settings.hpp"
#include "tallyfold/plane/tenants/permit_lender.hpp"

namespace tallyfold::directory {

class permit_lending {
  public:
    /// @param core null while the data folder is unavailable
    permit_lending(const settings::node_settings& settings,
                   const std::unique_ptr<directory_core>& core);

    /// Starts or ends lending when leadership changes, applies changed limits, and removes silent
    /// nodes.
    void tick(instant now);
    /// Returns the answer to a report of spent permits. Requires a core.
    [[nodiscard]] tenants::permit_answer answer(const tenants::permit_report& report, instant now);

  private:
    /// Logs the first report that the lender receives from a node's process.
    void log_first_report(const tenants::permit_report& report, instant now) const;
    void handle_leadership_change(instant now);

    const std::unique_ptr<directory_core>& core_;
    tenants::permit_lender lender_;
    /// Configuration version of the limits in use; empty while this node does not lend.
    std::optional<routing::configuration_version> lending_version_;
    instant lending_since_{};
};

}  // namespace tallyfold::directory
