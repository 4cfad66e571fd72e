#include "floodchecks.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(ClientFloodCertificate){};

// Guards against a flooding client that degrades the goodput or latency of other clients when
// long work runs on hosts with two slots.
TEST(ClientFloodCertificate, DoesNotAffectOtherClients)
{
  CheckFloodTargets("certificate", FloodSource::OneClient);
}
