#include "placement/planner.h"

#include <algorithm>
#include <numeric>

namespace Placement {

namespace {

// Slot counts of the upstreams by table index, and the target of each moved slot.
struct Plan
{
  std::vector<uint64_t> mWeights;
  std::vector<uint32_t> mCounts;
  std::vector<uint32_t> mTargets;
  std::map<uint16_t, uint16_t> mMoves;
};

bool
IsBelowTarget(const Plan& aPlan, uint16_t aUpstream)
{
  return aPlan.mCounts[aUpstream] < aPlan.mTargets[aUpstream];
}

const std::vector<HistoryEntry>*
HistoryOf(const SlotTable& aTable, uint16_t aSlot)
{
  const auto found = aTable.mHistory.find(aSlot);
  return found == aTable.mHistory.end() ? nullptr : &found->second;
}

// Prefers an upstream from the slot's history, because returning to it keeps the history short.
uint16_t
PreferredTarget(const SlotTable& aTable, const Plan& aPlan, uint16_t aSlot)
{
  const std::vector<HistoryEntry>* history = HistoryOf(aTable, aSlot);
  if (history == nullptr) {
    return kNoUpstream;
  }
  for (const HistoryEntry& entry : *history) {
    if (IsBelowTarget(aPlan, entry.mUpstream)) {
      return entry.mUpstream;
    }
  }
  return kNoUpstream;
}

void
ReleaseSlot(Plan& aPlan, const SlotTable& aTable, uint16_t aSlot)
{
  const uint16_t current = aTable.mSlots[aSlot].mCurrent;
  if (current != kNoUpstream) {
    --aPlan.mCounts[current];
  }
  aPlan.mMoves[aSlot] = kNoUpstream;
}

// Releases slots that can return to an older upstream first, then slots without history.
void
ReleaseSurplusSlots(Plan& aPlan, const SlotTable& aTable)
{
  for (int pass = 0; pass < 3; ++pass) {
    for (uint32_t slot = 0; slot < kSlots; ++slot) {
      const auto index = static_cast<uint16_t>(slot);
      const uint16_t current = aTable.mSlots[slot].mCurrent;
      if (aPlan.mMoves.count(index) > 0 || aPlan.mCounts[current] <= aPlan.mTargets[current]) {
        continue;
      }
      const bool canReturn = PreferredTarget(aTable, aPlan, index) != kNoUpstream;
      const bool isFresh = HistoryOf(aTable, index) == nullptr;
      if ((pass == 0 && canReturn) || (pass == 1 && isFresh) || pass == 2) {
        ReleaseSlot(aPlan, aTable, index);
      }
    }
  }
}

void
AssignReleasedSlots(Plan& aPlan, const SlotTable& aTable)
{
  for (auto& [slot, target] : aPlan.mMoves) {
    target = PreferredTarget(aTable, aPlan, slot);
    if (target != kNoUpstream) {
      ++aPlan.mCounts[target];
    }
  }
  uint16_t next = 0;
  for (auto& [slot, target] : aPlan.mMoves) {
    if (target != kNoUpstream) {
      continue;
    }
    // Round robin distributes the slots of one upstream over all receivers.
    for (size_t tried = 0; tried < aPlan.mCounts.size() && !IsBelowTarget(aPlan, next); ++tried) {
      next = static_cast<uint16_t>((next + 1U) % aPlan.mCounts.size());
    }
    target = next;
    ++aPlan.mCounts[target];
    next = static_cast<uint16_t>((next + 1U) % aPlan.mCounts.size());
  }
}

Plan
MakePlan(const SlotTable& aTable, std::vector<uint64_t> aWeights)
{
  Plan plan;
  plan.mWeights = std::move(aWeights);
  plan.mCounts.assign(plan.mWeights.size(), 0);
  for (const Slot& slot : aTable.mSlots) {
    if (slot.mCurrent != kNoUpstream) {
      ++plan.mCounts[slot.mCurrent];
    }
  }
  plan.mTargets = TargetCounts(plan.mWeights, plan.mCounts);
  const bool hasReceiver = std::any_of(
    plan.mTargets.begin(), plan.mTargets.end(), [](uint32_t aCount) { return aCount > 0; });
  if (!hasReceiver) {
    return plan;
  }
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    const uint16_t current = aTable.mSlots[slot].mCurrent;
    if (current == kNoUpstream || plan.mWeights[current] == 0) {
      ReleaseSlot(plan, aTable, static_cast<uint16_t>(slot));
    }
  }
  ReleaseSurplusSlots(plan, aTable);
  AssignReleasedSlots(plan, aTable);
  return plan;
}

// Returns true if owners may have placed new flows of the upstream's slots at other upstreams
// before the slots moved.
bool
MayHaveFallback(const Upstreams& aUpstreams,
                const Base::Endpoint& aEndpoint,
                const Settings& aSettings,
                Base::TimePoint aNow)
{
  const UpstreamStatus* status = FindUpstream(aUpstreams, aEndpoint);
  if (status == nullptr || !IsUsable(*status, aNow)) {
    return true;
  }
  return status->mDraining && aNow - status->mDrainingSince >= aSettings.mDrainFallbackDelay;
}

std::vector<HistoryEntry>
KeptHistory(const SlotTable& aTable, uint16_t aSlot, const Upstreams& aUpstreams, bool aIdle)
{
  std::vector<HistoryEntry> kept;
  const std::vector<HistoryEntry>* history = HistoryOf(aTable, aSlot);
  if (history == nullptr || aIdle) {
    return kept;
  }
  for (const HistoryEntry& entry : *history) {
    const Base::Endpoint& endpoint = aTable.mUpstreams[entry.mUpstream];
    if (entry.mUntilIdle || FindUpstream(aUpstreams, endpoint) != nullptr) {
      kept.push_back(entry);
    }
  }
  return kept;
}

std::vector<bool>
UsedIndexes(const SlotTable& aTable, const Upstreams& aUpstreams)
{
  std::vector<bool> used(aTable.mUpstreams.size(), false);
  for (size_t index = 0; index < used.size(); ++index) {
    used[index] = FindUpstream(aUpstreams, aTable.mUpstreams[index]) != nullptr;
  }
  for (const Slot& slot : aTable.mSlots) {
    if (slot.mCurrent != kNoUpstream) {
      used[slot.mCurrent] = true;
    }
  }
  for (const auto& [slot, history] : aTable.mHistory) {
    for (const HistoryEntry& entry : history) {
      used[entry.mUpstream] = true;
    }
  }
  return used;
}

} // namespace

std::vector<uint32_t>
TargetCounts(const std::vector<uint64_t>& aWeights, const std::vector<uint32_t>& aCurrent)
{
  std::vector<uint32_t> counts(aWeights.size(), 0);
  const uint64_t total = std::accumulate(aWeights.begin(), aWeights.end(), uint64_t{ 0 });
  if (total == 0) {
    return counts;
  }
  std::vector<size_t> order;
  uint32_t assigned = 0;
  for (size_t i = 0; i < aWeights.size(); ++i) {
    counts[i] = static_cast<uint32_t>(aWeights[i] * kSlots / total);
    assigned += counts[i];
    if (aWeights[i] > 0) {
      order.push_back(i);
    }
  }
  const auto remainder = [&](size_t aIndex) { return aWeights[aIndex] * kSlots % total; };
  std::stable_sort(order.begin(), order.end(), [&](size_t aLeft, size_t aRight) {
    return remainder(aLeft) != remainder(aRight) ? remainder(aLeft) > remainder(aRight)
                                                 : aCurrent[aLeft] > aCurrent[aRight];
  });
  for (size_t i = 0; assigned < kSlots; ++i, ++assigned) {
    ++counts[order[i]];
  }
  return counts;
}

void
AddPlannedUpstreams(SlotTable& aTable, const Upstreams& aUpstreams)
{
  std::vector<bool> used = UsedIndexes(aTable, aUpstreams);
  for (const UpstreamStatus& upstream : aUpstreams) {
    const auto begin = aTable.mUpstreams.begin();
    if (std::find(begin, aTable.mUpstreams.end(), upstream.mEndpoint) != aTable.mUpstreams.end()) {
      continue;
    }
    const auto free = std::find(used.begin(), used.end(), false);
    if (free == used.end()) {
      aTable.mUpstreams.push_back(upstream.mEndpoint);
      used.push_back(true);
      continue;
    }
    *free = true;
    aTable.mUpstreams[free - used.begin()] = upstream.mEndpoint;
  }
}

std::optional<PreparedChange>
PlanChange(const SlotTable& aTable,
           const Upstreams& aUpstreams,
           const std::vector<bool>& aIdle,
           const Settings& aSettings,
           Base::TimePoint aNow)
{
  SlotTable extended;
  const SlotTable* table = &aTable;
  const bool isMissing =
    std::any_of(aUpstreams.begin(), aUpstreams.end(), [&](const UpstreamStatus& aStatus) {
      const auto& known = aTable.mUpstreams;
      return std::find(known.begin(), known.end(), aStatus.mEndpoint) == known.end();
    });
  if (isMissing) {
    extended = aTable;
    AddPlannedUpstreams(extended, aUpstreams);
    table = &extended;
  }
  std::vector<uint64_t> weights;
  for (const Base::Endpoint& endpoint : table->mUpstreams) {
    const UpstreamStatus* status = FindUpstream(aUpstreams, endpoint);
    weights.push_back(status == nullptr ? 0 : RampedWeight(*status, aSettings, aNow));
  }
  const Plan plan = MakePlan(*table, std::move(weights));
  PreparedChange change;
  for (const auto& [slot, target] : plan.mMoves) {
    SlotChange& slotChange = change.mSlots[slot];
    slotChange.mTarget = target;
    slotChange.mKept = KeptHistory(*table, slot, aUpstreams, aIdle[slot]);
    const uint16_t current = table->mSlots[slot].mCurrent;
    slotChange.mUntilIdle =
      current != kNoUpstream &&
      MayHaveFallback(aUpstreams, table->mUpstreams[current], aSettings, aNow);
  }
  for (const auto& [slot, history] : table->mHistory) {
    if (change.mSlots.count(slot) > 0) {
      continue;
    }
    std::vector<HistoryEntry> kept = KeptHistory(*table, slot, aUpstreams, aIdle[slot]);
    if (kept.size() != history.size()) {
      change.mSlots[slot] = { table->mSlots[slot].mCurrent, std::move(kept), false };
    }
  }
  if (change.mSlots.empty()) {
    return std::nullopt;
  }
  return change;
}

} // namespace Placement
