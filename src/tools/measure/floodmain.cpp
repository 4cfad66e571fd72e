#include "measure/floodmeasure.h"

#include "absl/flags/flag.h"
#include "program/startup.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals and service times");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, with_settings, false, "read load and length_factor from --settings");

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(aArgc, aArgv, "lw-measure-flood: goodput of other work during floods");
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
  return Measure::RunFloodMeasure(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_json), settings);
}
