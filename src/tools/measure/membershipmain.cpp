#include "measure/membershipmeasure.h"
#include "program/startup.h"

#include "absl/flags/flag.h"

ABSL_FLAG(uint64_t, seed, 1, "seed of the random source");
ABSL_FLAG(bool, json, false, "print JSON lines");

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc, aArgv, "Measures the membership protocol: lw-measure-membership [--seed=N] [--json]");
  return Measure::RunMembershipMeasure(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_json));
}
