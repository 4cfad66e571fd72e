#include "measure/subcommands.h"
#include "program/startup.h"

#include "absl/flags/flag.h"

#include <iostream>

ABSL_FLAG(uint64_t, seed, 1, "seed of the random source");
ABSL_FLAG(std::string, format, "table", "output format: table or json");

namespace {

struct Subcommand
{
  const char* mName;
  Measure::Report (*mRun)(uint64_t aSeed);
  const char* mHelp;
};

// Sorted by name, one line each.
constexpr Subcommand kSubcommands[] = {
  { "placement", Measure::MeasurePlacement, "broken flows, time, memory, imbalance" },
  { "requests", Measure::MeasureRequests, "memory, time, outcomes under faults" },
};

std::string
Usage()
{
  std::string usage = "lw-measure SUBCOMMAND [--seed=N] [--format=table|json]\n";
  for (const Subcommand& subcommand : kSubcommands) {
    usage += std::string("  ") + subcommand.mName + ": " + subcommand.mHelp + "\n";
  }
  return usage;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> arguments = Program::ParseCommandLine(aArgc, aArgv, Usage());
  const std::string format = absl::GetFlag(FLAGS_format);
  if (arguments.size() != 1 || (format != "table" && format != "json")) {
    std::cerr << Usage();
    return Program::kExitFailure;
  }
  for (const Subcommand& subcommand : kSubcommands) {
    if (arguments.front() != subcommand.mName) {
      continue;
    }
    const Measure::Report report = subcommand.mRun(absl::GetFlag(FLAGS_seed));
    if (format == "json") {
      Measure::PrintJson(report, std::cout);
    } else {
      Measure::PrintTable(report, std::cout);
    }
    return Program::kExitOk;
  }
  std::cerr << "unknown subcommand \"" << arguments.front() << "\"\n" << Usage();
  return Program::kExitFailure;
}
