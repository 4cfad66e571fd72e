#pragma once

#include "membership/state.h"

namespace Membership {

/// Adds what each message carries: the sender's clock and at least the digest of the sender itself.
void
AddCommonFields(const State& aState, Base::TimePoint aNow, lw::membership::Message& aMessage);

/// Adds recent changes of records while they fit.
void
AddHotDeltas(State& aState,
             const Settings& aSettings,
             Base::TimePoint aNow,
             lw::membership::Message& aMessage);

/// Adds recent suspicions and deaths while they fit.
void
AddHotRumors(State& aState,
             const Settings& aSettings,
             Base::TimePoint aNow,
             lw::membership::Message& aMessage);

/// \return a message with the full digest and recent changes.
/// \param aStart selects the part of the digest if there are too many members for one.
lw::membership::Message
MakeGossip(State& aState, const Settings& aSettings, Base::TimePoint aNow, uint64_t aStart);

/// Collects an answer and begins another datagram when one is full.
struct ReplyWriter
{
  const Settings& mSettings;
  std::vector<lw::membership::Message> mMessages{ 1 };

  lw::membership::Message& First() { return mMessages.front(); }

  /// Adds the part of a record after aFrom, unless the limit of datagrams is reached.
  void AddDelta(const Record& aRecord, uint32_t aFrom, Base::TimePoint aNow);
};

} // namespace Membership
