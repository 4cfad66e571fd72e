#pragma once

#include "absl/status/status.h"
#include "consensus/node.h"

#include "operator.pb.h"

#include <string>

namespace Control {

/// Creates the status of this instance and its log for operators.
/// \param aFailure is the first failure of the data directory, or OK.
lw::operator_api::ControlStatus
MakeStatus(const Consensus::Node& aNode,
           const Consensus::Context& aContext,
           const absl::Status& aFailure);

/// \return the voters and learners of the log, for the log of the process.
/// \param aIdsAreAddresses is true if instance ids are IPv4 addresses.
std::string
DescribeMembers(const lw::operator_api::ControlStatus& aStatus, bool aIdsAreAddresses);

} // namespace Control
