#include "membership/digest.h"

#include "base/hash.h"
#include "membership/records.h"

#include <algorithm>
#include <map>
#include <optional>

namespace Membership {

namespace {

constexpr Base::Duration kHeartbeatAgeUnit = std::chrono::milliseconds(25);
/// In units of kHeartbeatAgeUnit. Members with older heartbeats are omitted, because such
/// heartbeats extend no lease.
constexpr int64_t kMaxHeartbeatAge = 255;
/// Leaves space in the datagram for rumors and small changes.
constexpr size_t kMaxDigestBytes = 1100;
/// Number of ids that share one run hash. While only one side knows a member of a block, no
/// heartbeat of that block can be used, so blocks are small.
constexpr uint32_t kBlockIds = 16;
constexpr uint32_t kVarintBits = 7;
constexpr uint8_t kVarintMore = 0x80;

struct Entry
{
  Base::InstanceId mId;
  uint8_t mAge = 0;
  uint8_t mTag = 0;
  uint64_t mVersion = 0;
  bool mSameRun = false;
};

void
AppendVarint(uint64_t aValue, std::string& aOutput)
{
  while (aValue >= kVarintMore) {
    aOutput.push_back(static_cast<char>((aValue & (kVarintMore - 1U)) | kVarintMore));
    aValue >>= kVarintBits;
  }
  aOutput.push_back(static_cast<char>(aValue));
}

/// Reads the packed fields of a digest. Sets mFailed if the input is truncated or malformed.
struct ByteReader
{
  const std::string& mBytes;
  size_t mOffset = 0;
  bool mFailed = false;

  bool AtEnd() const { return mFailed || mOffset >= mBytes.size(); }

  uint8_t Byte()
  {
    mFailed = mFailed || mOffset >= mBytes.size();
    return mFailed ? 0 : static_cast<uint8_t>(mBytes[mOffset++]);
  }

  uint64_t Varint()
  {
    uint64_t value = 0;
    for (uint32_t shift = 0; shift < 64; shift += kVarintBits) {
      const uint8_t byte = Byte();
      value |= static_cast<uint64_t>(byte & (kVarintMore - 1U)) << shift;
      if (byte < kVarintMore) {
        return value;
      }
    }
    mFailed = true;
    return 0;
  }
};

uint32_t
BlockOf(Base::InstanceId aId)
{
  return aId.mValue / kBlockIds;
}

/// Hash of the runs (incarnation and epoch) of the members of one block, added in the order of
/// their ids.
struct RunHash
{
  uint64_t mValue = 0;

  void Add(const Record& aRecord)
  {
    mValue =
      Base::StableHash({ mValue, aRecord.mId.mValue, aRecord.mIncarnation.mValue, aRecord.mEpoch });
  }
  uint8_t Low() const { return static_cast<uint8_t>(mValue); }
  uint8_t High() const { return static_cast<uint8_t>(mValue >> 8U); }
};

Entry
MakeEntry(const Record& aRecord, int64_t aAge)
{
  return {
    aRecord.mId, static_cast<uint8_t>(aAge), VersionTag(aRecord), aRecord.mVersionInForce.mValue
  };
}

/// \return the entries ordered by id. The entry of this instance has age 0.
std::vector<Entry>
CollectEntries(const State& aState, Base::TimePoint aNow)
{
  std::vector<Entry> entries;
  for (const auto& [id, record] : aState.mRecords) {
    if (id == aState.mSelf) {
      entries.push_back(MakeEntry(record, 0));
      continue;
    }
    // A heartbeat may be relayed only with the tag of the record version that it belongs to. With
    // another tag it would extend the leases of claims that are overdue by now. Rounding up the age
    // only shortens leases.
    const int64_t age =
      (aNow - record.mLeaseHeartbeat + kHeartbeatAgeUnit - Base::Duration(1)) / kHeartbeatAgeUnit;
    if (IsActiveMember(record) && record.mCopiedCounter > 0 && age < kMaxHeartbeatAge) {
      entries.push_back(MakeEntry(record, std::max<int64_t>(age, 0)));
    }
  }
  return entries;
}

/// Keeps the entries with the lowest ages, which always include the entry of this instance with age
/// 0.
void
KeepNewest(size_t aCount, std::vector<Entry>& aEntries)
{
  const auto end = aEntries.begin() + static_cast<ptrdiff_t>(aCount);
  std::nth_element(
    aEntries.begin(), end, aEntries.end(), [](const Entry& aLeft, const Entry& aRight) {
      return aLeft.mAge < aRight.mAge;
    });
  aEntries.erase(end, aEntries.end());
  std::sort(aEntries.begin(), aEntries.end(), [](const Entry& aLeft, const Entry& aRight) {
    return aLeft.mId < aRight.mId;
  });
}

/// While a new version is rolled out, members have different versions. Encoding only those that
/// differ from the most common version keeps the digest within a datagram.
uint64_t
MostCommonVersion(const std::vector<Entry>& aEntries)
{
  std::map<uint64_t, size_t> counts;
  for (const Entry& entry : aEntries) {
    ++counts[entry.mVersion];
  }
  return std::max_element(
           counts.begin(),
           counts.end(),
           [](const auto& aLeft, const auto& aRight) { return aLeft.second < aRight.second; })
    ->first;
}

void
EncodeVersions(const std::vector<Entry>& aEntries, lw::membership::Message& aMessage)
{
  const uint64_t base = MostCommonVersion(aEntries);
  std::string differences;
  size_t last = 0;
  for (size_t position = 0; position < aEntries.size(); ++position) {
    const auto difference = static_cast<int64_t>(aEntries[position].mVersion - base);
    if (difference != 0) {
      AppendVarint(position - last, differences);
      AppendVarint((static_cast<uint64_t>(difference) << 1U) ^
                     static_cast<uint64_t>(difference >> 63U),
                   differences);
      last = position;
    }
  }
  aMessage.set_base_version(base);
  aMessage.set_version_differences(std::move(differences));
}

/// \return false if the bytes are malformed.
bool
DecodeVersions(const lw::membership::Message& aMessage, std::vector<Entry>& aEntries)
{
  ByteReader reader{ aMessage.version_differences() };
  uint64_t position = 0;
  while (!reader.AtEnd()) {
    position += reader.Varint();
    const uint64_t zigzag = reader.Varint();
    const uint64_t difference = (zigzag >> 1U) ^ (~(zigzag & 1U) + 1U);
    if (position >= aEntries.size()) {
      return false;
    }
    aEntries[position].mVersion = aMessage.base_version() + difference;
  }
  return !reader.mFailed;
}

void
Encode(const std::vector<Entry>& aEntries, lw::membership::Message& aMessage)
{
  std::string digest;
  uint64_t next = 0;
  for (size_t first = 0; first < aEntries.size();) {
    size_t end = first + 1;
    while (end < aEntries.size() && aEntries[end].mId.mValue == aEntries[end - 1].mId.mValue + 1) {
      ++end;
    }
    AppendVarint(aEntries[first].mId.mValue - next, digest);
    AppendVarint(end - first, digest);
    next = aEntries[end - 1].mId.mValue + 1ULL;
    for (; first < end; ++first) {
      digest.push_back(static_cast<char>(aEntries[first].mAge));
      digest.push_back(static_cast<char>(aEntries[first].mTag));
    }
  }
  aMessage.set_digest(std::move(digest));
  EncodeVersions(aEntries, aMessage);
}

void
EncodeRuns(const State& aState,
           const std::vector<Entry>& aEntries,
           lw::membership::Message& aMessage)
{
  std::string hashes;
  for (size_t first = 0; first < aEntries.size();) {
    RunHash hash;
    const uint32_t block = BlockOf(aEntries[first].mId);
    for (; first < aEntries.size() && BlockOf(aEntries[first].mId) == block; ++first) {
      hash.Add(*FindRecord(aState, aEntries[first].mId));
    }
    hashes.push_back(static_cast<char>(hash.Low()));
    hashes.push_back(static_cast<char>(hash.High()));
  }
  aMessage.set_run_hashes(std::move(hashes));
}

/// Marks the entries of blocks for which both sides know the same runs.
/// \return false if the bytes are malformed.
bool
CompareRuns(const State& aState,
            const lw::membership::Message& aMessage,
            std::vector<Entry>& aEntries)
{
  ByteReader reader{ aMessage.run_hashes() };
  for (size_t first = 0; first < aEntries.size();) {
    RunHash hash;
    bool known = true;
    size_t end = first;
    const uint32_t block = BlockOf(aEntries[first].mId);
    for (; end < aEntries.size() && BlockOf(aEntries[end].mId) == block; ++end) {
      const Record* record = FindRecord(aState, aEntries[end].mId);
      known = known && record != nullptr;
      if (known) {
        hash.Add(*record);
      }
    }
    const bool low = reader.Byte() == hash.Low();
    const bool high = reader.Byte() == hash.High();
    for (; first < end; ++first) {
      aEntries[first].mSameRun = known && low && high;
    }
  }
  return !reader.mFailed && reader.AtEnd();
}

std::optional<std::vector<Entry>>
Decode(const lw::membership::Message& aMessage)
{
  std::vector<Entry> entries;
  ByteReader reader{ aMessage.digest() };
  uint64_t next = 0;
  while (!reader.AtEnd()) {
    next += reader.Varint();
    const uint64_t count = reader.Varint();
    if (entries.size() + count > kMaxDigestEntries || next + count > UINT32_MAX) {
      return std::nullopt;
    }
    for (uint64_t i = 0; i < count; ++i) {
      const uint8_t age = reader.Byte();
      const uint8_t tag = reader.Byte();
      const Base::InstanceId id(static_cast<uint32_t>(next++));
      entries.push_back({ id, age, tag, aMessage.base_version() });
    }
  }
  if (reader.mFailed || !DecodeVersions(aMessage, entries)) {
    return std::nullopt;
  }
  return entries;
}

void
ExtendLeases(Record& aRecord, const Settings& aSettings)
{
  const Base::TimePoint end = aRecord.mLeaseHeartbeat + aSettings.mLease - aSettings.mRenewalWindow;
  for (Claim& claim : aRecord.mClaims) {
    const bool held = claim.mState == ClaimState::Active || claim.mState == ClaimState::Draining;
    if (held && !claim.mOverdue) {
      claim.mLeaseEnd = std::max(claim.mLeaseEnd, end);
    }
  }
}

void
ApplyEntry(State& aState,
           const Settings& aSettings,
           const Entry& aEntry,
           Base::TimePoint aArrival,
           DigestResult& aResult)
{
  if (aEntry.mId == aState.mSelf) {
    return;
  }
  Record* record = FindRecord(aState, aEntry.mId);
  const bool matches = record != nullptr && aEntry.mSameRun && VersionTag(*record) == aEntry.mTag;
  const bool copied = record != nullptr && record->mCopiedCounter > 0 &&
                      record->mCopiedCounter >= record->mNewestCounter;
  aResult.mAllComplete = aResult.mAllComplete && copied;
  if (!matches) {
    aResult.mDiffering.push_back(aEntry.mId);
  }
  if (record == nullptr) {
    return;
  }
  if (!IsActiveMember(*record)) {
    aResult.mLocallyDead.push_back(aEntry.mId);
    return;
  }
  const Base::TimePoint heartbeat = aArrival - kHeartbeatAgeUnit * aEntry.mAge;
  record->mLastHeartbeat = std::max(record->mLastHeartbeat, heartbeat);
  if (!matches) {
    return;
  }
  record->mVersionInForce = std::max(record->mVersionInForce, Base::ConfigVersion(aEntry.mVersion));
  if (heartbeat > record->mLeaseHeartbeat) {
    record->mLeaseHeartbeat = heartbeat;
    ExtendLeases(*record, aSettings);
  }
}

} // namespace

void
AddFullDigest(const State& aState, Base::TimePoint aNow, lw::membership::Message& aMessage)
{
  std::vector<Entry> entries = CollectEntries(aState, aNow);
  aMessage.set_members(static_cast<uint32_t>(entries.size()));
  if (entries.size() > kMaxDigestEntries) {
    KeepNewest(kMaxDigestEntries, entries);
  }
  Encode(entries, aMessage);
  EncodeRuns(aState, entries, aMessage);
  // Non-contiguous ids and mixed versions need more bytes per entry.
  while (aMessage.ByteSizeLong() > kMaxDigestBytes) {
    KeepNewest(entries.size() * 3 / 4, entries);
    Encode(entries, aMessage);
    EncodeRuns(aState, entries, aMessage);
  }
}

void
AddOwnDigest(const State& aState, lw::membership::Message& aMessage)
{
  const std::vector<Entry> own{ MakeEntry(*FindRecord(aState, aState.mSelf), 0) };
  Encode(own, aMessage);
  EncodeRuns(aState, own, aMessage);
}

DigestResult
ApplyDigest(State& aState,
            const Settings& aSettings,
            const lw::membership::Message& aMessage,
            Base::TimePoint aArrival)
{
  DigestResult result;
  std::optional<std::vector<Entry>> entries = Decode(aMessage);
  if (!entries || !CompareRuns(aState, aMessage, *entries)) {
    result.mValid = false;
    return result;
  }
  for (const Entry& entry : *entries) {
    ApplyEntry(aState, aSettings, entry, aArrival, result);
  }
  return result;
}

} // namespace Membership
