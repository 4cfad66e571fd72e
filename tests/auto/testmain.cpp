#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

int
main(int aArgc, char** aArgv)
{
  // The leak detector is left out: it follows blocks that libraries allocate before main and free
  // later, and crashed on the default instances of protobuf messages.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  CommandLineTestRunner runner(aArgc, aArgv, TestRegistry::getCurrentRegistry());
  return runner.runAllTestsMain();
}
