#include "absl/flags/flag.h"
#include "absl/strings/str_split.h"
#include "commands.h"
#include "program/startup.h"

#include <iostream>

ABSL_FLAG(std::vector<std::string>,
          control,
          { "127.0.0.1:7400" },
          "operator addresses of the control instances, separated by commas");
ABSL_FLAG(std::string,
          entry,
          "",
          "explain: address and metrics port of the lw-platform-entry instance");
ABSL_FLAG(std::string, caller, "", "explain: address and port of the caller");
ABSL_FLAG(std::string, service, "", "explain: address and port that the caller connects to");
ABSL_FLAG(std::string, format, "table", "table or json");
ABSL_FLAG(std::string, operator_id, "lwctl", "name of the operator in the history");
ABSL_FLAG(uint64_t,
          request_number,
          0,
          "request number of the change, the same for a retry; 0 selects a random one");
ABSL_FLAG(int64_t,
          base_version,
          -1,
          "version that the change is based on; -1 selects the current one");
ABSL_FLAG(int32_t, timeout_ms, 10000, "timeout of the command in milliseconds");

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments =
    Program::ParseCommandLine(aArgc, aArgv, Lwctl::UsageText());
  Lwctl::Options options;
  for (const std::string& text : absl::GetFlag(FLAGS_control)) {
    const absl::StatusOr<Base::Endpoint> endpoint = Base::ParseEndpoint(text);
    if (!endpoint.ok()) {
      std::cerr << "lwctl: --control: " << endpoint.status().message() << std::endl;
      return Program::kExitBadSettings;
    }
    options.mClient.mInstances.push_back(*endpoint);
  }
  options.mClient.mTimeout = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
  options.mJson = absl::GetFlag(FLAGS_format) == "json";
  options.mOperatorId = absl::GetFlag(FLAGS_operator_id);
  options.mRequestNumber = absl::GetFlag(FLAGS_request_number);
  options.mBaseVersion = absl::GetFlag(FLAGS_base_version);
  options.mExplain = { absl::GetFlag(FLAGS_entry),
                       absl::GetFlag(FLAGS_caller),
                       absl::GetFlag(FLAGS_service) };
  return Lwctl::RunCommand(options, arguments);
}
