#include "consensusmeasure.h"

#include "control/posixfiles.h"
#include "measurecluster.h"
#include "program/startup.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iostream>

namespace {

using Measure::MeasureCluster;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr uint64_t kChanges = 1000;
constexpr uint64_t kBatch = 64;
constexpr uint64_t kBatches = 64;
constexpr uint64_t kElections = 100;
/// One-way latency between availability zones, docs/design.md section 1.
constexpr Base::Duration kZoneDelay = std::chrono::microseconds(1500);
/// Time limit for each wait for a change to be applied.
constexpr Base::Duration kRunLimit = std::chrono::seconds(60);

/// In-memory files that outlive the replica that writes them. Syncs take no time.
Storage::FilePort
MemoryFiles(std::map<std::string, std::string>& aFiles)
{
  Storage::FilePort port;
  const auto done = [](const std::string&) { return absl::OkStatus(); };
  port.mMakeDirectory = done;
  port.mSyncFile = done;
  port.mSyncDirectory = done;
  port.mList = [&aFiles](const std::string& aPath) {
    std::vector<std::string> names;
    for (const auto& [path, bytes] : aFiles) {
      if (path.rfind(aPath + "/", 0) == 0) {
        names.push_back(path.substr(aPath.size() + 1));
      }
    }
    return absl::StatusOr<std::vector<std::string>>(names);
  };
  port.mRead = [&aFiles](const std::string& aPath) {
    return absl::StatusOr<std::string>(aFiles[aPath]);
  };
  port.mAppend = [&aFiles](const std::string& aPath, const std::string& aBytes) {
    aFiles[aPath] += aBytes;
    return absl::OkStatus();
  };
  port.mTruncate = [&aFiles](const std::string& aPath, uint64_t aSize) {
    aFiles[aPath].resize(aSize);
    return absl::OkStatus();
  };
  port.mRename = [&aFiles](const std::string& aFrom, const std::string& aTo) {
    aFiles[aTo] = std::move(aFiles[aFrom]);
    aFiles.erase(aFrom);
    return absl::OkStatus();
  };
  port.mRemove = [&aFiles](const std::string& aPath) {
    aFiles.erase(aPath);
    return absl::OkStatus();
  };
  return port;
}

/// Runs in real time until the leader has applied the version.
/// \return false on timeout.
bool
RunUntilApplied(MeasureCluster& aCluster, uint64_t aVersion)
{
  const Base::TimePoint end = Base::RuntimeClock::now() + kRunLimit;
  while (aCluster.AppliedVersion() < aVersion || aCluster.Leader() == 0) {
    const Base::TimePoint now = Base::RuntimeClock::now();
    if (now > end) {
      return false;
    }
    aCluster.Step(now);
  }
  return true;
}

/// Runs in simulated time, which advances to the next event, until the leader has applied the
/// version.
/// \return false on timeout.
bool
SimulateUntilApplied(MeasureCluster& aCluster, uint64_t aVersion, Base::TimePoint& aNow)
{
  const Base::TimePoint end = aNow + kRunLimit;
  while (aCluster.AppliedVersion() < aVersion || aCluster.Leader() == 0) {
    aNow = std::max(aNow, aCluster.NextEvent());
    if (aNow > end) {
      return false;
    }
    aCluster.Step(aNow);
  }
  return true;
}

double
Percentile(std::vector<double> aValues, double aPart)
{
  std::sort(aValues.begin(), aValues.end());
  const auto rank = static_cast<size_t>(aPart * static_cast<double>(aValues.size() - 1));
  return aValues[rank];
}

double
MillisecondsSince(Base::TimePoint aStart)
{
  return Milliseconds(Base::RuntimeClock::now() - aStart).count();
}

/// Measures an append and sync of the size of a change as a baseline for the latency of changes.
bool
MeasureSync(const std::string& aFolder, nlohmann::ordered_json& aResult)
{
  constexpr size_t kBytes = 200;
  const Storage::FilePort files = Control::PosixFiles();
  const std::string path = aFolder + "/sync";
  std::vector<double> times;
  for (uint64_t i = 0; i < kChanges; ++i) {
    const Base::TimePoint start = Base::RuntimeClock::now();
    if (!files.mAppend(path, std::string(kBytes, 'x')).ok() || !files.mSyncFile(path).ok()) {
      return false;
    }
    times.push_back(MillisecondsSince(start));
  }
  aResult["bare_sync_median_ms"] = Percentile(times, 0.5);
  aResult["bare_sync_p99_ms"] = Percentile(times, 0.99);
  return true;
}

/// Measures sequential changes, the restart of an instance and batched changes with files on disk.
bool
MeasureChanges(uint64_t aSeed, const std::string& aFolder, nlohmann::ordered_json& aResult)
{
  MeasureCluster cluster(
    aSeed, [](uint32_t) { return Control::PosixFiles(); }, aFolder, Base::Duration::zero());
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    if (!cluster.Start(instance, Base::RuntimeClock::now()).ok()) {
      return false;
    }
  }
  if (!RunUntilApplied(cluster, 0)) {
    return false;
  }
  std::vector<double> times;
  const uint64_t messagesBefore = cluster.mMessages;
  const uint64_t bytesBefore = cluster.mMessageBytes;
  const Base::TimePoint start = Base::RuntimeClock::now();
  for (uint64_t change = 1; change <= kChanges; ++change) {
    const Base::TimePoint proposed = Base::RuntimeClock::now();
    cluster.Propose(1, proposed);
    if (!RunUntilApplied(cluster, change)) {
      return false;
    }
    times.push_back(MillisecondsSince(proposed));
  }
  aResult["changes_per_second"] = 1000.0 * kChanges / MillisecondsSince(start);
  aResult["accept_median_ms"] = Percentile(times, 0.5);
  aResult["accept_p99_ms"] = Percentile(times, 0.99);
  aResult["messages_per_change"] =
    static_cast<double>(cluster.mMessages - messagesBefore) / kChanges;
  aResult["message_bytes_per_change"] =
    static_cast<double>(cluster.mMessageBytes - bytesBefore) / kChanges;

  const uint32_t leader = cluster.Leader();
  cluster.Stop(leader);
  const Base::TimePoint reopened = Base::RuntimeClock::now();
  if (!cluster.Start(leader, reopened).ok()) {
    return false;
  }
  aResult["reopen_after_1000_changes_ms"] = MillisecondsSince(reopened);
  if (!RunUntilApplied(cluster, kChanges)) {
    return false;
  }
  const Base::TimePoint batched = Base::RuntimeClock::now();
  for (uint64_t batch = 1; batch <= kBatches; ++batch) {
    cluster.Propose(kBatch, Base::RuntimeClock::now());
    if (!RunUntilApplied(cluster, kChanges + batch * kBatch)) {
      return false;
    }
  }
  aResult["changes_per_second_in_batches_of_64"] =
    1000.0 * kBatch * kBatches / MillisecondsSince(batched);
  return true;
}

/// Measures the time from the loss of the leader after 1,000 changes to the next accepted change,
/// in simulated time.
bool
MeasureRecovery(uint64_t aSeed, nlohmann::ordered_json& aResult)
{
  std::map<std::string, std::string> files;
  MeasureCluster cluster(
    aSeed, [&files](uint32_t) { return MemoryFiles(files); }, "memory", kZoneDelay);
  Base::TimePoint now;
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    if (!cluster.Start(instance, now).ok()) {
      return false;
    }
  }
  if (!SimulateUntilApplied(cluster, 0, now)) {
    return false;
  }
  uint64_t version = kChanges;
  cluster.Propose(kChanges, now);
  std::vector<double> times;
  for (uint64_t i = 0; i < kElections; ++i) {
    if (!SimulateUntilApplied(cluster, version, now)) {
      return false;
    }
    const uint32_t lost = cluster.Leader();
    cluster.Stop(lost);
    const Base::TimePoint start = now;
    if (!SimulateUntilApplied(cluster, 0, now)) {
      return false;
    }
    cluster.Propose(1, now);
    if (!SimulateUntilApplied(cluster, ++version, now)) {
      return false;
    }
    times.push_back(Milliseconds(now - start).count());
    if (!cluster.Start(lost, now).ok()) {
      return false;
    }
  }
  aResult["leader_loss_to_next_change_median_ms"] = Percentile(times, 0.5);
  aResult["leader_loss_to_next_change_max_ms"] = Percentile(times, 1.0);
  return true;
}

} // namespace

int
RunConsensusMeasure(uint64_t aSeed, bool aJson)
{
  std::string folder = std::filesystem::temp_directory_path() / "lw-measure.XXXXXX";
  if (mkdtemp(folder.data()) == nullptr) {
    std::cerr << "cannot create " << folder << std::endl;
    return Program::kExitFailure;
  }
  nlohmann::ordered_json result;
  result["seed"] = aSeed;
  const bool measured = MeasureSync(folder, result) && MeasureChanges(aSeed, folder, result) &&
                        MeasureRecovery(aSeed, result);
  std::filesystem::remove_all(folder);
  if (!measured) {
    std::cerr << "the replicas made no progress within the limit" << std::endl;
    return Program::kExitFailure;
  }
  if (aJson) {
    std::cout << result.dump() << std::endl;
    return Program::kExitOk;
  }
  for (const auto& [name, value] : result.items()) {
    std::cout << name << ": " << value << std::endl;
  }
  return Program::kExitOk;
}
