#include "program/stopsignal.h"

#include <csignal>

namespace Program {

namespace {

sigset_t
StopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

} // namespace

void
BlockStopSignals()
{
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

int
WaitForStopSignal()
{
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  return received;
}

} // namespace Program
