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

/// Collects an answer. The first datagram gets what is bounded by count; records go into others,
/// and another one is begun when one is full.
struct ReplyWriter
{
  const State& mState;
  const Settings& mSettings;
  std::vector<lw::membership::Message> mMessages{ 2 };

  lw::membership::Message& First() { return mMessages.front(); }

  /// Adds a part of a record as MakeDelta makes it, unless the limit of datagrams is reached.
  void AddDelta(const Record& aRecord, uint32_t aFrom, uint32_t aRemovals, Base::TimePoint aNow);
};

} // namespace Membership
