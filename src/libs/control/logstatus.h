#pragma once

#include "absl/status/status.h"
#include "consensus/node.h"

#include "operator.pb.h"

namespace Control {

/// Creates the status of this instance and its log for operators.
/// \param aFailure is the first failure of the data directory, or OK.
lw::operator_api::ControlStatus
MakeStatus(const Consensus::Node& aNode,
           const Consensus::Context& aContext,
           const absl::Status& aFailure);

} // namespace Control
