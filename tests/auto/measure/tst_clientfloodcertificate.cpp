#include "floodchecks.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(ClientFloodCertificate){};

// Guards against one client that takes goodput or latency from the others with long work on two
// slots.
TEST(ClientFloodCertificate, LeavesOtherClients)
{
  CheckFloodTargets("certificate", FloodOf::OneClient);
}
