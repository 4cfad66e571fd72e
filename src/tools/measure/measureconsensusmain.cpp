#include "consensusmeasure.h"
#include "program/startup.h"

#include "absl/flags/flag.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of the random numbers");
ABSL_FLAG(bool, json, false, "print one JSON object");

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc, aArgv, "Measures the configuration log in a temporary directory.");
  return RunConsensusMeasure(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_json));
}
