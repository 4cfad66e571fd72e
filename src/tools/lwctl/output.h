#pragma once

#include "config.pb.h"
#include "operator.pb.h"

#include <google/protobuf/message.h>

#include <string>

namespace Lwctl {

/// \return the message as JSON with the field names of the schema.
std::string
ToJson(const google::protobuf::Message& aMessage);

/// \return a table of the services.
std::string
ServiceTable(const lw::config::State& aState);

/// \return a table of the evacuated availability zones.
std::string
EvacuationTable(const lw::config::Evacuations& aEvacuations);

/// \return a table of the accepted changes.
std::string
HistoryTable(const lw::operator_api::HistoryReply& aHistory);

/// \return the version, the leader, and a table of the instances that marks those that lag.
std::string
StatusTable(const lw::operator_api::StatusReply& aStatus);

} // namespace Lwctl
