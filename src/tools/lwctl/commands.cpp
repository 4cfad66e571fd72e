#include "commands.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "output.h"
#include "program/startup.h"

#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <thread>

namespace Lwctl {

namespace {

using Arguments = std::vector<std::string>;
using Command = int (*)(const Options&, const Arguments&);

constexpr std::chrono::milliseconds kWaitPollInterval{ 100 };
/// The wait command ignores instances whose last report is older.
constexpr uint64_t kMaxReportAgeMs = 10000;

int
Fail(const absl::Status& aStatus)
{
  std::cerr << "lwctl: " << aStatus.message() << std::endl;
  switch (aStatus.code()) {
    case absl::StatusCode::kAborted:
      return kExitConflict;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
      return kExitUnavailable;
    case absl::StatusCode::kInvalidArgument:
      return Program::kExitBadSettings;
    default:
      return Program::kExitFailure;
  }
}

int
Print(const Options& aOptions, const google::protobuf::Message& aMessage, const std::string& aTable)
{
  std::cout << (aOptions.mJson ? ToJson(aMessage) : aTable) << std::flush;
  return Program::kExitOk;
}

uint64_t
RandomRequestNumber()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 31U) | device() | 1U;
}

/// Sends a change whose base version is already set, if it needs one.
int
SendChange(const Options& aOptions, lw::config::Change& aChange)
{
  aChange.set_operator_id(aOptions.mOperatorId);
  aChange.set_request_number(aOptions.mRequestNumber != 0 ? aOptions.mRequestNumber
                                                          : RandomRequestNumber());
  const absl::StatusOr<uint64_t> version = Apply(aOptions.mClient, aChange);
  if (!version.ok()) {
    return Fail(version.status());
  }
  lw::operator_api::ChangeReply reply;
  reply.set_version(*version);
  return Print(aOptions, reply, absl::StrCat("accepted in version ", *version, "\n"));
}

int
ApplyChange(const Options& aOptions, lw::config::Change& aChange)
{
  if (aOptions.mBaseVersion >= 0) {
    aChange.set_base_version(static_cast<uint64_t>(aOptions.mBaseVersion));
  } else {
    const absl::StatusOr<lw::config::State> state = Read(aOptions.mClient);
    if (!state.ok()) {
      return Fail(state.status());
    }
    aChange.set_base_version(state->version());
  }
  return SendChange(aOptions, aChange);
}

int
RunApply(const Options& aOptions, const Arguments& aArguments)
{
  if (aArguments.size() != 2) {
    return Fail(absl::InvalidArgumentError("apply takes one file"));
  }
  std::ifstream file(aArguments[1]);
  if (!file) {
    return Fail(absl::InvalidArgumentError(absl::StrCat("cannot read \"", aArguments[1], "\"")));
  }
  std::ostringstream text;
  text << file.rdbuf();
  lw::config::Change change;
  const auto parsed =
    google::protobuf::util::JsonStringToMessage(text.str(), change.mutable_put_service());
  if (!parsed.ok()) {
    return Fail(
      absl::InvalidArgumentError(absl::StrCat(aArguments[1], ": ", parsed.message().ToString())));
  }
  return ApplyChange(aOptions, change);
}

int
RunDelete(const Options& aOptions, const Arguments& aArguments)
{
  if (aArguments.size() != 2) {
    return Fail(absl::InvalidArgumentError("delete takes one service name"));
  }
  lw::config::Change change;
  change.set_delete_service(aArguments[1]);
  return ApplyChange(aOptions, change);
}

int
SetEvacuation(const Options& aOptions, const Arguments& aArguments, bool aEvacuated)
{
  if (aArguments.size() != 2) {
    return Fail(
      absl::InvalidArgumentError(absl::StrCat(aArguments[0], " takes one availability zone")));
  }
  if (aOptions.mBaseVersion >= 0) {
    return Fail(
      absl::InvalidArgumentError(absl::StrCat("--base_version does not apply to ", aArguments[0])));
  }
  lw::config::Change change;
  change.mutable_set_evacuation()->set_availability_zone(aArguments[1]);
  change.mutable_set_evacuation()->set_evacuated(aEvacuated);
  return SendChange(aOptions, change);
}

int
RunEvacuate(const Options& aOptions, const Arguments& aArguments)
{
  return SetEvacuation(aOptions, aArguments, true);
}

int
RunReadmit(const Options& aOptions, const Arguments& aArguments)
{
  return SetEvacuation(aOptions, aArguments, false);
}

int
RunEvacuations(const Options& aOptions, const Arguments& /*aArguments*/)
{
  const absl::StatusOr<lw::config::State> state = Read(aOptions.mClient);
  return state.ok() ? Print(aOptions, state->evacuations(), EvacuationTable(state->evacuations()))
                    : Fail(state.status());
}

int
RunList(const Options& aOptions, const Arguments& /*aArguments*/)
{
  const absl::StatusOr<lw::config::State> state = Read(aOptions.mClient);
  return state.ok() ? Print(aOptions, *state, ServiceTable(*state)) : Fail(state.status());
}

int
RunGet(const Options& aOptions, const Arguments& aArguments)
{
  if (aArguments.size() != 2) {
    return Fail(absl::InvalidArgumentError("get takes one service name"));
  }
  const absl::StatusOr<lw::config::State> state = Read(aOptions.mClient);
  if (!state.ok()) {
    return Fail(state.status());
  }
  for (const lw::config::Service& service : state->services()) {
    if (service.name() == aArguments[1]) {
      return Print(aOptions, service, ToJson(service));
    }
  }
  return Fail(absl::NotFoundError(absl::StrCat("service \"", aArguments[1], "\" does not exist")));
}

int
RunHistory(const Options& aOptions, const Arguments& /*aArguments*/)
{
  const absl::StatusOr<lw::operator_api::HistoryReply> history = History(aOptions.mClient, 0);
  return history.ok() ? Print(aOptions, *history, HistoryTable(*history)) : Fail(history.status());
}

int
RunStatus(const Options& aOptions, const Arguments& /*aArguments*/)
{
  const absl::StatusOr<lw::operator_api::StatusReply> status = Status(aOptions.mClient);
  return status.ok() ? Print(aOptions, *status, StatusTable(*status)) : Fail(status.status());
}

int
RunExplain(const Options& aOptions, const Arguments& aArguments)
{
  if (aArguments.size() != 1) {
    return Fail(absl::InvalidArgumentError("explain takes only flags"));
  }
  const absl::StatusOr<std::string> text =
    Explain(aOptions.mExplain, aOptions.mJson, aOptions.mClient.mTimeout);
  if (!text.ok()) {
    return Fail(text.status());
  }
  std::cout << *text << std::flush;
  return Program::kExitOk;
}

bool
IsInForceEverywhere(const lw::operator_api::StatusReply& aStatus, uint64_t aVersion)
{
  if (aStatus.version() < aVersion) {
    return false;
  }
  for (const lw::operator_api::InstanceStatus& instance : aStatus.instances()) {
    if (instance.report_age_ms() < kMaxReportAgeMs && instance.version_in_force() < aVersion) {
      return false;
    }
  }
  return aStatus.instances_size() > 0;
}

int
RunWait(const Options& aOptions, const Arguments& aArguments)
{
  uint64_t version = 0;
  if (aArguments.size() != 2 || !absl::SimpleAtoi(aArguments[1], &version)) {
    return Fail(absl::InvalidArgumentError("wait takes one version"));
  }
  const Base::TimePoint end = Base::RuntimeClock::now() + aOptions.mClient.mTimeout;
  while (Base::RuntimeClock::now() < end) {
    const absl::StatusOr<lw::operator_api::StatusReply> status = Status(aOptions.mClient);
    if (status.ok() && IsInForceEverywhere(*status, version)) {
      return Print(aOptions, *status, absl::StrCat("version ", version, " is in force\n"));
    }
    std::this_thread::sleep_for(kWaitPollInterval);
  }
  std::cerr << "lwctl: version " << version << " is not in force everywhere" << std::endl;
  return kExitNotInForce;
}

const std::map<std::string, Command>&
Commands()
{
  static const std::map<std::string, Command> sCommands{
    { "apply", RunApply },       { "delete", RunDelete },
    { "evacuate", RunEvacuate }, { "evacuations", RunEvacuations },
    { "explain", RunExplain },   { "get", RunGet },
    { "history", RunHistory },   { "list", RunList },
    { "readmit", RunReadmit },   { "status", RunStatus },
    { "wait", RunWait },
  };
  return sCommands;
}

} // namespace

int
RunCommand(const Options& aOptions, const std::vector<std::string>& aArguments)
{
  const auto command = aArguments.empty() ? Commands().end() : Commands().find(aArguments.front());
  if (command == Commands().end()) {
    std::cerr << UsageText() << std::endl;
    return Program::kExitBadSettings;
  }
  return command->second(aOptions, aArguments);
}

std::string
UsageText()
{
  return "lwctl [flags] COMMAND\n"
         "  apply FILE     creates or changes the service that the JSON file describes\n"
         "  delete NAME    deletes a service\n"
         "  evacuate ZONE  sends no more new flows to the upstreams of an availability zone\n"
         "  readmit ZONE   ends the evacuation of an availability zone\n"
         "  evacuations    prints the evacuated availability zones\n"
         "  explain        prints where an entry instance would send a flow now, and why\n"
         "                 (--entry=ADDRESS:PORT --caller=ADDRESS:PORT --service=ADDRESS:PORT)\n"
         "  get NAME       prints a service\n"
         "  list           prints all services\n"
         "  history        prints the accepted changes that are still stored\n"
         "  status         prints the version in force on each instance\n"
         "  wait VERSION   waits until the version is in force everywhere\n"
         "Exit codes: 0 done, 1 refused, 2 bad input, 3 conflict with another change,\n"
         "4 no control instance answered (run it again with the same --request_number), or the\n"
         "entry instance did not explain,\n"
         "5 not in force within --timeout_ms.";
}

} // namespace Lwctl
