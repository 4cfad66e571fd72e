#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int
main(int aArgc, char** aArgv)
{
  // Caches inside libraries are not leaks of the code under test.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aArgc, aArgv);
}
