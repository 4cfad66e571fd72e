#include "inspect.h"

#include "config/logstate.h"
#include "control/posixfiles.h"
#include "program/startup.h"
#include "storage/directory.h"

#include <iostream>

namespace Control {

namespace {

const char*
KindName(const Consensus::Entry& aEntry)
{
  switch (aEntry.kind()) {
    case lw::consensus::TERM_START:
      return "term start";
    case lw::consensus::COMMAND:
      return "change";
    case lw::consensus::MEMBERSHIP:
      return "membership";
    default:
      return "unknown";
  }
}

void
PrintEntry(const Consensus::Entry& aEntry)
{
  std::cout << "entry " << aEntry.index() << ", term " << aEntry.term() << ": " << KindName(aEntry);
  lw::config::LogCommand command;
  if (aEntry.kind() == lw::consensus::COMMAND && command.ParseFromString(aEntry.command())) {
    std::cout << " of " << command.change().operator_id() << " request "
              << command.change().request_number() << " from version "
              << command.change().base_version();
  }
  for (const lw::consensus::Replica& replica : aEntry.membership().replicas()) {
    std::cout << " " << replica.instance() << "/" << replica.storage()
              << (replica.voter() ? " voter" : " learner");
  }
  std::cout << "\n";
}

} // namespace

int
InspectDirectory(const std::string& aPath)
{
  const absl::StatusOr<Storage::Contents> contents = Storage::Load(PosixFiles(), aPath);
  if (!contents.ok()) {
    std::cerr << contents.status().message() << std::endl;
    return Program::kExitFailure;
  }
  std::cout << Storage::Describe(*contents);
  const Consensus::Snapshot& snapshot = contents->mRestored.mSnapshot;
  if (snapshot.index() > 0) {
    const absl::StatusOr<Config::LogState> state = Config::LoadLogState(snapshot.state());
    if (!state.ok()) {
      std::cerr << state.status().message() << std::endl;
      return Program::kExitFailure;
    }
    std::cout << "snapshot configuration: version " << state->mState.version() << ", "
              << state->mState.services_size() << " services\n";
  }
  for (const Consensus::Entry& entry : contents->mRestored.mEntries) {
    PrintEntry(entry);
  }
  std::cout << "verified" << std::endl;
  return Program::kExitOk;
}

} // namespace Control
