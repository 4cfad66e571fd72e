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

/// Selects receivers at distances of increasing powers of two around the ring of members, so that
/// without loss a change reaches all members within one round of log2(members) messages. The random
/// offset within each power selects other paths in the next round.
const Record*
GossipTarget(State& aState, Base::RandomSource& aRandom)
{
  const std::vector<Base::InstanceId> ring = ActiveMembers(aState);
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

/// \return the addresses of seeds and dead members, except those that belong to an active member.
std::vector<Base::Endpoint>
UnreachableContacts(const State& aState, const Settings& aSettings)
{
  std::vector<Base::Endpoint> live;
  std::vector<Base::Endpoint> unreachable;
  for (const auto& [id, record] : aState.mRecords) {
    if (IsActiveMember(record)) {
      live.push_back(record.mEndpoint);
    } else if (record.mState != lw::membership::LEFT) {
      unreachable.push_back(record.mEndpoint);
    }
  }
  unreachable.insert(unreachable.end(), aSettings.mSeeds.begin(), aSettings.mSeeds.end());
  const auto covered = std::remove_if(
    unreachable.begin(), unreachable.end(), [&live](const Base::Endpoint& aEndpoint) {
      return std::find(live.begin(), live.end(), aEndpoint) != live.end();
    });
  unreachable.erase(covered, unreachable.end());
  return unreachable;
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
    aOutbox.push_back({ target->mId, target->mEndpoint, MakeGossip(aState, aSettings, aNow) });
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
  const bool alone = ActiveMembers(aState).size() < 2;
  aState.mNextContact = aNow + (alone ? kJoinInterval : kContactInterval);
  std::vector<Base::Endpoint> contacts = UnreachableContacts(aState, aSettings);
  for (size_t sent = 0; sent < (alone ? kJoinSeeds : 1) && !contacts.empty(); ++sent) {
    const size_t chosen = Base::NextBelow(aRandom, contacts.size());
    Message message = MakeGossip(aState, aSettings, aNow);
    if (message.deltas_size() == 0) {
      *message.add_deltas() =
        MakeDelta(aState, OwnRecord(aState), 0, 0, aNow, aSettings.mMaxPayload / 2);
    }
    aOutbox.push_back({ Base::InstanceId(), contacts[chosen], std::move(message) });
    contacts.erase(contacts.begin() + static_cast<ptrdiff_t>(chosen));
  }
}

} // namespace Membership
