#include "measure/requestsmeasure.h"

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"

#include <cstdint>

ABSL_FLAG(uint64_t, seed, 20261204, "First seed of the randomized run");
ABSL_FLAG(bool, json, false, "Print JSON");

int
main(int aArgc, char** aArgv)
{
  absl::SetProgramUsageMessage("Measures the request code against small fakes.");
  absl::ParseCommandLine(aArgc, aArgv);
  return RunRequestsMeasure(absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_json));
}
