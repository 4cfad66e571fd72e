#include "steering/flowpins.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace Steering {

namespace {

/// Flows that carry one request are closed before this, or their callers have given up. They need
/// no pin at the peers.
constexpr std::chrono::milliseconds kReportDelay{ 3000 };
/// Delay with at most kMaxEarlyPins pending, so that few flows lose their pin with the instance.
/// With more pending, pins of flows that close soon would take the bandwidth.
constexpr std::chrono::milliseconds kEarlyReportDelay{ 250 };
constexpr size_t kMaxEarlyPins = 8;
/// Size of a pin in a report.
constexpr int64_t kPinBytes = 34;
/// Bandwidth for the pins of one instance to all of its peers. Links have as little as 2 Mbit/s,
/// and every peer has to read each pin.
constexpr int64_t kPinBytesPerSecond = int64_t{ 6 } * 1024;
/// Keeps a report small enough for a datagram.
constexpr int64_t kMaxPinsPerReport = 64;

int
PinsPerReport(size_t aPeers, Base::Duration aInterval)
{
  const auto bytesPerPin = kPinBytes * static_cast<int64_t>(std::max<size_t>(aPeers, 1));
  const int64_t bytes = kPinBytesPerSecond * aInterval / std::chrono::seconds(1);
  return static_cast<int>(std::clamp<int64_t>(bytes / bytesPerPin, 1, kMaxPinsPerReport));
}

void
Schedule(FlowPins& aPins, const FlowKey& aFlow, FlowPin& aPin, Base::TimePoint aDueAt)
{
  if (aPin.mReportsLeft == 0 && aPins.mPending.size() >= kMaxPins) {
    return;
  }
  if (aPin.mReportsLeft == 0) {
    aPins.mPending.push_back({ aFlow, aDueAt });
  }
  aPin.mReportsLeft = kReportsPerPin;
}

/// Stores the pin, in place of one for an earlier flow with the same addresses.
FlowPin&
Store(FlowPins& aPins, const FlowKey& aFlow, const FlowPin& aPin)
{
  FlowPin& pin = Internal::AddEntry(aPins, aFlow, aPin.mAddedAt, kMaxPins);
  const int reportsLeft = pin.mReportsLeft;
  pin = aPin;
  pin.mReportsLeft = reportsLeft;
  return pin;
}

FlowKey
FlowOf(const lw::fleet::FlowPin& aPin)
{
  return { { aPin.caller_address(), static_cast<uint16_t>(aPin.caller_port()) },
           { aPin.service_address(), static_cast<uint16_t>(aPin.service_port()) } };
}

void
AddToReport(const FlowKey& aFlow, const FlowPin& aPin, lw::fleet::LoadReport& aReport)
{
  lw::fleet::FlowPin* pin = aReport.add_pins();
  pin->set_caller_address(aFlow.mCaller.mAddress);
  pin->set_caller_port(aFlow.mCaller.mPort);
  pin->set_service_address(aFlow.mService.mAddress);
  pin->set_service_port(aFlow.mService.mPort);
  pin->set_tag(aPin.mTag.mValue);
  pin->set_sequence(aPin.mSequence);
  pin->set_origin(aPin.mOrigin);
}

void
AddPinRequests(FlowPins& aPins, lw::fleet::LoadReport& aReport)
{
  for (auto request = aPins.mRequests.begin(); request != aPins.mRequests.end();) {
    aReport.add_pins_requested_from(request->first);
    request = --request->second == 0 ? aPins.mRequests.erase(request) : std::next(request);
  }
}

} // namespace

void
PinFlow(FlowPins& aPins,
        const FlowKey& aFlow,
        uint32_t aOpeningSequence,
        Directory::RouteTag aTag,
        Base::TimePoint aNow)
{
  FlowPin pin;
  pin.mTag = aTag;
  pin.mSequence = aOpeningSequence;
  pin.mOrigin = aPins.mSelf;
  pin.mAddedAt = aNow;
  Schedule(aPins, aFlow, Store(aPins, aFlow, pin), aNow + kReportDelay);
}

std::optional<Directory::RouteTag>
PinnedTag(const FlowPins& aPins, const FlowKey& aFlow, uint32_t aSequence)
{
  const auto pin = aPins.mByFlow.find(aFlow);
  if (pin == aPins.mByFlow.end() || !IsInFlow(pin->second.mSequence, aSequence)) {
    return std::nullopt;
  }
  return pin->second.mTag;
}

void
MarkClosing(FlowPins& aPins, const FlowKey& aFlow)
{
  const auto pin = aPins.mByFlow.find(aFlow);
  if (pin != aPins.mByFlow.end()) {
    pin->second.mClosing = true;
  }
}

void
AddPendingPins(FlowPins& aPins,
               lw::fleet::LoadReport& aReport,
               size_t aPeers,
               Base::Duration aInterval,
               Base::TimePoint aNow)
{
  AddPinRequests(aPins, aReport);
  const int maxPins = PinsPerReport(aPeers, aInterval);
  size_t left = aPins.mPending.size();
  const Base::TimePoint reportThrough =
    left <= kMaxEarlyPins ? aNow + kReportDelay - kEarlyReportDelay : aNow;
  while (left > 0 && aReport.pins_size() < maxPins) {
    --left;
    const FlowPins::Pending pending = aPins.mPending.front();
    aPins.mPending.pop_front();
    const auto found = aPins.mByFlow.find(pending.mFlow);
    if (found == aPins.mByFlow.end() || found->second.mReportsLeft == 0) {
      continue; // The pin was removed, and possibly replaced by one that has its own entry.
    }
    FlowPin& pin = found->second;
    if (pin.mClosing) {
      pin.mReportsLeft = 0;
    } else if (reportThrough >= pending.mDueAt) {
      AddToReport(pending.mFlow, pin, aReport);
      --pin.mReportsLeft;
    }
    if (pin.mReportsLeft > 0) {
      aPins.mPending.push_back(pending);
    }
  }
}

void
ApplyPins(FlowPins& aPins, const lw::fleet::LoadReport& aReport, Base::TimePoint aNow)
{
  for (const lw::fleet::FlowPin& reported : aReport.pins()) {
    const FlowKey flow = FlowOf(reported);
    const auto known = aPins.mByFlow.find(flow);
    if (known == aPins.mByFlow.end() || known->second.mSequence != reported.sequence()) {
      FlowPin pin;
      pin.mTag = Directory::RouteTag(reported.tag());
      pin.mSequence = reported.sequence();
      pin.mOrigin = reported.origin();
      pin.mAddedAt = aNow;
      Store(aPins, flow, pin);
    }
  }
}

void
RequestPinsFrom(FlowPins& aPins, uint32_t aPeer)
{
  aPins.mRequests[aPeer] = kReportsPerPin;
}

bool
IsAskedForPins(const FlowPins& aPins, const lw::fleet::LoadReport& aReport)
{
  const auto& requested = aReport.pins_requested_from();
  return std::find(requested.begin(), requested.end(), aPins.mSelf) != requested.end();
}

void
SchedulePinsFor(FlowPins& aPins, uint32_t aPeer, const PeerReports& aReports, Base::TimePoint aNow)
{
  for (auto& [flow, pin] : aPins.mByFlow) {
    const bool originSendsIt = pin.mOrigin != aPins.mSelf && pin.mOrigin != aPeer &&
                               aReports.mByInstance.count(pin.mOrigin) != 0;
    if (!originSendsIt && !pin.mClosing) {
      Schedule(aPins, flow, pin, aNow);
    }
  }
}

void
SchedulePinsOf(FlowPins& aPins, uint32_t aOrigin, Base::TimePoint aNow)
{
  for (auto& [flow, pin] : aPins.mByFlow) {
    if (pin.mOrigin == aOrigin && !pin.mClosing) {
      Schedule(aPins, flow, pin, aNow);
    }
  }
}

void
ExpirePins(FlowPins& aPins, Base::TimePoint aNow)
{
  Internal::RemoveExpired(aPins, kMaxFlowAge, aNow);
}

} // namespace Steering
