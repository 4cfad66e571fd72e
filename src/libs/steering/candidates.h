#pragma once

#include "steering/choice.h"

#include <array>
#include <cstdint>
#include <vector>

/// Candidates of a choice, for the functions that choose among them or explain the choice.
namespace Steering::Internal {

/// Groups of upstreams in order of preference. A group is used only if all groups before it are
/// empty.
enum PreferenceGroup
{
  Healthy,
  Unresponsive,
  AlreadyTried,
  PreferenceGroupCount
};

/// Factor by which an upstream is slower right after its start.
constexpr double kColdStartFactor = 1.6;

/// An upstream that may get the flow, with its load. Both live as long as the input of the choice.
struct Candidate
{
  const Directory::MergedUpstream* mUpstream = nullptr;
  const Load* mLoad = nullptr;
};

/// Slots and flows of the candidates in one place, local or remote.
struct PlaceLoad
{
  uint32_t mSlots = 0;
  uint32_t mOwnFlows = 0;
  uint32_t mPeerFlows = 0;
};

/// Candidates of one group. Those of an availability zone are in the order of their id and start,
/// on which all instances agree. A restarted upstream keeps its place.
struct Candidates
{
  std::vector<Candidate> mLocal;
  std::vector<Candidate> mRemote;
  PlaceLoad mLocalLoad;
  PlaceLoad mRemoteLoad;
};

/// Upstreams of one service that may get new flows.
struct CandidateGroups
{
  std::array<Candidates, PreferenceGroupCount> mByGroup;
  /// Cold upstreams that are in no group because this instance may not send to them now.
  size_t mColdLimited = 0;
};

/// \return the number, limited to the range of 32 bits. A sum of very many slots must not wrap
/// around to a small number.
uint32_t
Saturate(uint64_t aNumber);

/// \return the upstream with its load.
Candidate
MakeCandidate(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream);

/// \return true if the upstream is cold and this instance may not send to it now.
bool
IsColdLimited(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream);

/// \return true if the upstream has not announced itself within its lease.
bool
IsLeaseExpired(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream);

/// \return the group to which the choice assigns the candidate.
PreferenceGroup
PreferenceGroupOf(const ChoiceInput& aInput, const Candidate& aCandidate);

/// Adds the candidate and its load to its place.
void
AddCandidate(const ChoiceInput& aInput, const Candidate& aCandidate, Candidates& aCandidates);

/// \return the upstreams of the service that may get new flows, by group. Draining upstreams and
/// those of evacuated availability zones are left out.
CandidateGroups
CollectCandidates(const ChoiceInput& aInput);

/// \return the flows for each slot that peers are expected to have placed since their reports. They
/// count only if the availability zone is full: otherwise, they are the same for all its upstreams
/// and would only send flows to remote ones while local slots are free.
double
ExpectedPeerFlowsPerSlot(const ChoiceInput& aInput, const PlaceLoad& aLocal);

/// \return the expected flows for each slot if the candidate gets this flow, with penalties for
/// cold and remote upstreams.
/// \param aPeerFlowsPerSlot are the flows that peers are expected to have placed since their
/// reports.
double
Cost(const ChoiceInput& aInput, const Candidate& aCandidate, double aPeerFlowsPerSlot);

} // namespace Steering::Internal
