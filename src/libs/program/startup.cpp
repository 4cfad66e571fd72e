#include "program/startup.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "absl/flags/usage_config.h"
#include "absl/strings/match.h"

#include <glog/logging.h>

#include <iostream>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace Program {

std::vector<std::string>
ParseCommandLine(int aArgc, char** aArgv, const std::string& aUsage)
{
  absl::SetProgramUsageMessage(aUsage);
  absl::FlagsUsageConfig usage;
  // By default --help lists only flags from a file that is named after the program.
  usage.contains_help_flags = [](absl::string_view aFile) {
    return absl::StrContains(aFile, "src/");
  };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> positional = absl::ParseCommandLine(aArgc, aArgv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aArgv[0]);
  return { positional.begin() + 1, positional.end() };
}

Startup
ReadSettings(const std::function<absl::Status(Settings::Reader&)>& aRead)
{
  const std::string path = absl::GetFlag(FLAGS_settings);
  absl::StatusOr<std::shared_ptr<Settings::Document>> document = Settings::LoadDocument(path);
  absl::Status status = document.status();
  if (status.ok()) {
    Settings::Reader reader(*document);
    status = aRead(reader);
  }
  if (!status.ok()) {
    std::cerr << path << ": " << status.message() << std::endl;
    return { StartAction::Exit, kExitBadSettings };
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "settings are valid" << std::endl;
    return { StartAction::Exit, kExitOk };
  }
  return {};
}

} // namespace Program
