#pragma once

#include <zmq.hpp>

#include <cerrno>
#include <chrono>
#include <cstddef>

namespace Base {

/// Waits for events like zmq::poll. If a signal interrupts the call, returns early and reports no
/// events, where zmq::poll throws an exception that ends the process. A stop and continuation of
/// the process can interrupt any thread.
inline void
PollSockets(zmq::pollitem_t* aItems, size_t aCount, std::chrono::milliseconds aTimeout)
{
  try {
    zmq::poll(aItems, aCount, aTimeout);
  } catch (const zmq::error_t& error) {
    if (error.num() != EINTR) {
      throw;
    }
    for (size_t i = 0; i < aCount; ++i) {
      aItems[i].revents = 0;
    }
  }
}

} // namespace Base
