#include "measure/choicecost.h"

#include "steering/choice.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <deque>
#include <string>
#include <vector>

namespace Measure {

namespace {

using std::chrono::seconds;

constexpr size_t kZones = 3;
constexpr size_t kInstances = 42;
constexpr uint32_t kSlots = 3;
constexpr uint32_t kControls = 3;
constexpr seconds kLease{ 5 };
constexpr Base::TimePoint kNow{ seconds(1000) };
/// Expected share of the reported flows in progress with the report interval of 42 instances and
/// requests of 30 ms.
constexpr double kReportWeight = 0.12;
/// Choices after which a flow ends, so that the loads do not grow during the measurement.
constexpr size_t kOpenFlows = 20;
/// Choices of a run multiplied by its upstreams, so that all runs take similar times if the time of
/// a choice grows with the number of upstreams.
constexpr size_t kChoicesTimesUpstreams = 6'000'000;

std::string
ServiceName(size_t aService)
{
  return "service-" + std::to_string(aService);
}

std::string
ZoneName(size_t aZone)
{
  return "zone-" + std::to_string(aZone);
}

/// Announces the upstreams to all control instances, as in production.
Directory::MergedDirectory
MakeDirectory(size_t aUpstreams, size_t aServices)
{
  lw::fleet::PollReply reply;
  for (size_t i = 0; i < aUpstreams; ++i) {
    lw::fleet::Upstream* message = reply.add_upstreams();
    message->set_id(i + 1);
    message->set_address(static_cast<uint32_t>(i + 1));
    message->set_port(1);
    message->set_service(ServiceName(i % aServices));
    message->set_availability_zone(ZoneName(i / aServices % kZones));
    message->set_slots(kSlots);
    message->set_state(lw::fleet::READY);
  }
  Directory::MergedDirectory directory;
  for (uint32_t control = 1; control <= kControls; ++control) {
    Directory::Merge(directory, Base::InstanceId(control), reply, kNow);
  }
  return directory;
}

/// \return loads with one flow of the peers at each upstream of the instance's zone, as reported.
Steering::LoadTable
MakeLoads(size_t aUpstreams, size_t aServices)
{
  Steering::LoadTable loads;
  for (size_t i = 0; i < aUpstreams; ++i) {
    if (i / aServices % kZones == 0) {
      loads.mByTag[Directory::TagOf(Directory::UpstreamId(i + 1), 0)].mPeerFlows = 1;
    }
  }
  return loads;
}

double
ProcessorMicroseconds(std::clock_t aStart)
{
  return 1e6 * static_cast<double>(std::clock() - aStart) / CLOCKS_PER_SEC;
}

} // namespace

ChoiceCostFigures
RunChoiceCost(uint64_t aSeed, size_t aUpstreams, size_t aServices, size_t aChoices)
{
  const Directory::MergedDirectory directory = MakeDirectory(aUpstreams, aServices);
  Steering::LoadTable loads = MakeLoads(aUpstreams, aServices);
  const Steering::Evacuations evacuations;
  const std::vector<Directory::RouteTag> excluded;
  const std::string zone = ZoneName(0);
  const Steering::ZonePosition position{ kInstances / 2, kInstances };
  std::vector<std::string> services;
  for (size_t service = 0; service < std::min(aServices, aUpstreams); ++service) {
    services.push_back(ServiceName(service));
  }
  Base::RandomSource random{ aSeed };
  std::deque<Directory::RouteTag> open;
  ChoiceCostFigures figures;
  const std::clock_t start = std::clock();
  for (size_t i = 0; i < aChoices; ++i) {
    const Steering::ChoiceInput input{
      directory,    loads,    evacuations, services[i % services.size()],
      zone,         excluded, kLease,      kNow,
      kInstances,   false,    nullptr,     position,
      kReportWeight
    };
    const Steering::Choice choice = Steering::ChooseUpstream(input, random);
    figures.mCandidates += static_cast<double>(choice.mCandidates);
    if (choice.mUpstream == nullptr) {
      ++figures.mSaturated;
      continue;
    }
    ++loads.mByTag[choice.mUpstream->mTag].mOwnFlows;
    open.push_back(choice.mUpstream->mTag);
    if (open.size() > kOpenFlows) {
      --loads.mByTag[open.front()].mOwnFlows;
      open.pop_front();
    }
  }
  const auto choices = static_cast<double>(aChoices);
  figures.mProcessorMicroseconds = ProcessorMicroseconds(start) / choices;
  figures.mCandidates /= choices;
  figures.mSaturated /= choices;
  return figures;
}

void
MeasureChoiceCost(uint64_t aSeed, Report& aReport)
{
  for (const size_t services : { 2, 20, 200 }) {
    Section section;
    section.mTitle = "processor time of a choice, " + std::to_string(services) + " services";
    for (const size_t upstreams : { 150, 1500, 16000 }) {
      const ChoiceCostFigures figures =
        RunChoiceCost(aSeed, upstreams, services, kChoicesTimesUpstreams / upstreams);
      section.mRows.push_back({ std::to_string(upstreams) + " upstreams",
                                { { "processor", figures.mProcessorMicroseconds, "us" },
                                  { "candidates", figures.mCandidates, "" },
                                  { "saturated", figures.mSaturated, "" } } });
    }
    aReport.mSections.push_back(std::move(section));
  }
}

} // namespace Measure
