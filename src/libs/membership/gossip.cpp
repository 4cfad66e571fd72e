#include "membership/gossip.h"

#include "membership/compose.h"
#include "membership/records.h"

#include <algorithm>

namespace Membership {

namespace {

using lw::membership::Message;

constexpr Base::Duration kContactInterval = std::chrono::seconds(1);
constexpr Base::Duration kJoinInterval = std::chrono::milliseconds(300);
constexpr size_t kJoinSeeds = 3;

/// Selects receivers at distances of growing powers of two around the ring, so that news reaches
/// all members within one round of log2(members) messages without loss. The random part inside each
/// power gives other paths in the next round.
const Record*
GossipTarget(State& aState, Base::RandomSource& aRandom)
{
  const std::vector<Base::InstanceId> ring = Ring(aState);
  if (ring.size() < 2) {
    return nullptr;
  }
  const size_t self = std::lower_bound(ring.begin(), ring.end(), aState.mSelf) - ring.begin();
  uint64_t span = 1ULL << aState.mGossipRound;
  if (span >= ring.size()) {
    aState.mGossipRound = 0;
    span = 1;
  }
  ++aState.mGossipRound;
  const uint64_t limit = std::min<uint64_t>(2 * span, ring.size());
  const uint64_t distance = span + Base::NextBelow(aRandom, limit - span);
  return FindRecord(aState, ring[(self + distance) % ring.size()]);
}

/// \return seeds and dead members that no live member's address covers.
std::vector<Base::Endpoint>
SilentContacts(const State& aState, const Settings& aSettings)
{
  std::vector<Base::Endpoint> live;
  std::vector<Base::Endpoint> silent;
  for (const auto& [id, record] : aState.mRecords) {
    if (IsInRing(record)) {
      live.push_back(record.mEndpoint);
    } else if (record.mState != lw::membership::LEFT) {
      silent.push_back(record.mEndpoint);
    }
  }
  silent.insert(silent.end(), aSettings.mSeeds.begin(), aSettings.mSeeds.end());
  const auto covered =
    std::remove_if(silent.begin(), silent.end(), [&live](const Base::Endpoint& aEndpoint) {
      return std::find(live.begin(), live.end(), aEndpoint) != live.end();
    });
  silent.erase(covered, silent.end());
  return silent;
}

} // namespace

void
SendGossip(State& aState,
           const Settings& aSettings,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom,
           Outbox& aOutbox)
{
  if (aNow < aState.mNextGossip) {
    return;
  }
  aState.mNextGossip = std::max(aState.mNextGossip + aSettings.mGossipInterval, aNow);
  const Record* target = GossipTarget(aState, aRandom);
  if (target != nullptr) {
    aOutbox.push_back({ target->mId,
                        target->mEndpoint,
                        MakeGossip(aState, aSettings, aNow, Base::NextRandom(aRandom)) });
  }
}

void
SendContacts(State& aState,
             const Settings& aSettings,
             Base::TimePoint aNow,
             Base::RandomSource& aRandom,
             Outbox& aOutbox)
{
  if (aNow < aState.mNextContact) {
    return;
  }
  const bool alone = Ring(aState).size() < 2;
  aState.mNextContact = aNow + (alone ? kJoinInterval : kContactInterval);
  std::vector<Base::Endpoint> contacts = SilentContacts(aState, aSettings);
  for (size_t sent = 0; sent < (alone ? kJoinSeeds : 1) && !contacts.empty(); ++sent) {
    const size_t chosen = Base::NextBelow(aRandom, contacts.size());
    Message message = MakeGossip(aState, aSettings, aNow, Base::NextRandom(aRandom));
    if (message.deltas_size() == 0) {
      *message.add_deltas() =
        MakeDelta(aState, OwnRecord(aState), 0, 0, aNow, aSettings.mMaxPayload / 2);
    }
    aOutbox.push_back({ Base::InstanceId(), contacts[chosen], std::move(message) });
    contacts.erase(contacts.begin() + static_cast<ptrdiff_t>(chosen));
  }
}

} // namespace Membership
