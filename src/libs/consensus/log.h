#pragma once

#include "consensus.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Consensus {

/// Position of an entry in the log. Indexes start at 1 and have no gaps.
using LogIndex = uint64_t;
/// Number of an election period. Each term has at most one leader.
using Term = uint64_t;
using Entry = lw::consensus::Entry;
using Membership = lw::consensus::Membership;
using Message = lw::consensus::Message;
using Snapshot = lw::consensus::Snapshot;

/// The part of the log that is kept in memory. Owned by the thread that runs the node. Its size is
/// bounded by the snapshot interval plus the retained entries, in number and in bytes. After a
/// restart it is read from the data directory.
struct Log
{
  /// Index of the entry before the first one in mEntries.
  LogIndex mBaseIndex = 0;
  Term mBaseTerm = 0;
  /// Appended with AppendEntry.
  std::deque<Entry> mEntries;
  /// For each entry, the total size in bytes of all entries up to it since the process started.
  std::deque<uint64_t> mEndOffsets;
  /// The same for the entry at mBaseIndex.
  uint64_t mBaseOffset = 0;
};

void
AppendEntry(Log& aLog, Entry aEntry);

/// \return the size in bytes of the entries after aIndex, up to and including aLast. Entries that
/// are not in memory do not count.
uint64_t
BytesBetween(const Log& aLog, LogIndex aIndex, LogIndex aLast);

LogIndex
LastIndex(const Log& aLog);

Term
LastTerm(const Log& aLog);

/// \return the term of the entry, or std::nullopt if it was compacted or does not exist.
std::optional<Term>
TermAt(const Log& aLog, LogIndex aIndex);

/// \param aIndex must be the index of an entry in memory.
const Entry&
EntryAt(const Log& aLog, LogIndex aIndex);

/// Removes all entries from aIndex on.
void
TruncateFrom(Log& aLog, LogIndex aIndex);

/// Discards the entries up to and including aIndex. Does nothing if aIndex is neither in memory nor
/// the base index.
void
Compact(Log& aLog, LogIndex aIndex);

/// \return up to aMaxEntries entries from aFirst on, with a total size of at most aMaxBytes. The
/// first entry is returned even if it alone is larger.
std::vector<Entry>
CopyEntries(const Log& aLog, LogIndex aFirst, size_t aMaxEntries, size_t aMaxBytes);

} // namespace Consensus
