#include "measure/choicemeasure.h"
#include "measure/consensusmeasure.h"
#include "measure/floodmeasure.h"
#include "measure/membershipmeasure.h"
#include "measure/requestsmeasure.h"
#include "measure/subcommands.h"
#include "program/startup.h"

#include "absl/flags/flag.h"

#include <iostream>

ABSL_FLAG(uint64_t, seed, 1, "seed of the random source");
ABSL_FLAG(bool, with_settings, false, "flood: read load and length_factor from --settings");
ABSL_FLAG(std::string, format, "table", "output format: table or json");

namespace {

struct Subcommand
{
  const char* mName;
  /// \return the exit code.
  int (*mRun)(uint64_t aSeed, bool aJson);
  const char* mHelp;
};

int
Print(const Measure::Report& aReport, bool aJson)
{
  if (aJson) {
    Measure::PrintJson(aReport, std::cout);
  } else {
    Measure::PrintTable(aReport, std::cout);
  }
  return Program::kExitOk;
}

int
RunChoice(uint64_t aSeed, bool aJson)
{
  return Print(Measure::MeasureChoice(aSeed), aJson);
}

int
RunPlacement(uint64_t aSeed, bool aJson)
{
  return Print(Measure::MeasurePlacement(aSeed), aJson);
}

/// Reads the flood parameters from --settings if --with_settings is given.
int
RunFlood(uint64_t aSeed, bool aJson)
{
  Measure::FloodSettings settings;
  if (absl::GetFlag(FLAGS_with_settings)) {
    const Program::Startup startup = Program::ReadSettings([&](Settings::Reader& aReader) {
      settings.mLoad = aReader.NumberOr("load", 0.01, 1, settings.mLoad);
      settings.mLengthFactor = aReader.NumberOr("length_factor", 0.01, 10, settings.mLengthFactor);
      return aReader.Finish();
    });
    if (startup.mAction == Program::StartAction::Exit) {
      return startup.mExitCode;
    }
  }
  return Measure::RunFloodMeasure(aSeed, aJson, settings);
}

// Sorted by name, one line each.
constexpr Subcommand kSubcommands[] = {
  { "choice", RunChoice, "how entry instances track the load of upstreams" },
  { "consensus", RunConsensusMeasure, "changes per second, time to accept, recovery" },
  { "flood", RunFlood, "goodput and latency of other work during floods" },
  { "membership", Measure::RunMembershipMeasure, "control traffic, time, memory, spread" },
  { "placement", RunPlacement, "broken flows, time, memory, imbalance" },
  { "requests", RunRequestsMeasure, "memory, time, outcomes of a randomized run" },
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
    return subcommand.mRun(absl::GetFlag(FLAGS_seed), format == "json");
  }
  std::cerr << "unknown subcommand \"" << arguments.front() << "\"\n" << Usage();
  return Program::kExitFailure;
}
