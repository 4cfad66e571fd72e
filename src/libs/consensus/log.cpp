#include "consensus/log.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

/// \return the size of all entries up to aIndex, which may be outside the entries in memory.
uint64_t
EndOffset(const Log& aLog, LogIndex aIndex)
{
  if (aIndex <= aLog.mBaseIndex || aLog.mEndOffsets.empty()) {
    return aLog.mBaseOffset;
  }
  const size_t entry = std::min<size_t>(aIndex - aLog.mBaseIndex, aLog.mEndOffsets.size()) - 1;
  return aLog.mEndOffsets[entry];
}

} // namespace

void
AppendEntry(Log& aLog, Entry aEntry)
{
  aLog.mEndOffsets.push_back(EndOffset(aLog, LastIndex(aLog)) + aEntry.ByteSizeLong());
  aLog.mEntries.push_back(std::move(aEntry));
}

uint64_t
BytesBetween(const Log& aLog, LogIndex aIndex, LogIndex aLast)
{
  return EndOffset(aLog, aLast) - EndOffset(aLog, std::min(aIndex, aLast));
}

LogIndex
LastIndex(const Log& aLog)
{
  return aLog.mBaseIndex + aLog.mEntries.size();
}

Term
LastTerm(const Log& aLog)
{
  return aLog.mEntries.empty() ? aLog.mBaseTerm : aLog.mEntries.back().term();
}

std::optional<Term>
TermAt(const Log& aLog, LogIndex aIndex)
{
  if (aIndex == aLog.mBaseIndex) {
    return aLog.mBaseTerm;
  }
  if (aIndex < aLog.mBaseIndex || aIndex > LastIndex(aLog)) {
    return std::nullopt;
  }
  return EntryAt(aLog, aIndex).term();
}

const Entry&
EntryAt(const Log& aLog, LogIndex aIndex)
{
  return aLog.mEntries[aIndex - aLog.mBaseIndex - 1];
}

void
TruncateFrom(Log& aLog, LogIndex aIndex)
{
  const LogIndex keep = aIndex > aLog.mBaseIndex ? aIndex - aLog.mBaseIndex - 1 : 0;
  while (aLog.mEntries.size() > keep) {
    aLog.mEntries.pop_back();
    aLog.mEndOffsets.pop_back();
  }
}

void
Compact(Log& aLog, LogIndex aIndex)
{
  const std::optional<Term> term = TermAt(aLog, aIndex);
  if (!term.has_value()) {
    return;
  }
  const auto count = static_cast<std::ptrdiff_t>(aIndex - aLog.mBaseIndex);
  aLog.mBaseOffset = EndOffset(aLog, aIndex);
  aLog.mEntries.erase(aLog.mEntries.begin(), aLog.mEntries.begin() + count);
  aLog.mEndOffsets.erase(aLog.mEndOffsets.begin(), aLog.mEndOffsets.begin() + count);
  aLog.mBaseIndex = aIndex;
  aLog.mBaseTerm = *term;
}

std::vector<Entry>
CopyEntries(const Log& aLog, LogIndex aFirst, size_t aMaxEntries, size_t aMaxBytes)
{
  std::vector<Entry> entries;
  size_t bytes = 0;
  for (LogIndex index = aFirst; index <= LastIndex(aLog) && entries.size() < aMaxEntries; ++index) {
    const Entry& entry = EntryAt(aLog, index);
    bytes += entry.ByteSizeLong();
    if (bytes > aMaxBytes && !entries.empty()) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

} // namespace Consensus
