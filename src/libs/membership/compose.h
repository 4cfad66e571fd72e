#pragma once

#include "membership/state.h"

namespace Membership {

/// Adds the fields of every message: the sender's clock, its join state, and its own digest entry
/// unless the message already has a digest.
void
AddCommonFields(const State& aState, Base::TimePoint aNow, lw::membership::Message& aMessage);

/// Adds recent record changes until the payload limit is reached.
void
PiggybackDeltas(State& aState,
                const Settings& aSettings,
                Base::TimePoint aNow,
                lw::membership::Message& aMessage);

/// Adds recent suspicions and deaths until the payload limit is reached.
void
PiggybackRumors(State& aState,
                const Settings& aSettings,
                Base::TimePoint aNow,
                lw::membership::Message& aMessage);

/// \return a gossip message with the full digest and recent changes.
lw::membership::Message
MakeGossip(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Collects the reply to one message. The first datagram takes the fields that are limited by
/// count. Records go into the following datagrams; a full datagram starts a new one.
struct ReplyWriter
{
  const State& mState;
  const Settings& mSettings;
  std::vector<lw::membership::Message> mMessages{ 2 };

  lw::membership::Message& First() { return mMessages.front(); }

  /// Adds a part of a record, see MakeDelta(). Does nothing once the datagram limit is reached.
  void AddDelta(const Record& aRecord, uint32_t aFrom, uint32_t aRemovals, Base::TimePoint aNow);
};

} // namespace Membership
