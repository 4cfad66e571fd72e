#pragma once

#include "consensus.pb.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace Consensus {

/// Position of an entry, from 1 without gaps.
using LogIndex = uint64_t;
/// Number of an election; at most one instance leads in it.
using Term = uint64_t;
using Entry = lw::consensus::Entry;
using Membership = lw::consensus::Membership;
using Message = lw::consensus::Message;
using Snapshot = lw::consensus::Snapshot;

/// The part of the log that is in memory. Owned by the thread that drives the node; bounded by the
/// snapshot interval plus the retained entries; read back from the data directory after a restart.
struct Log
{
  /// Entry before the first one that is held.
  LogIndex mBaseIndex = 0;
  Term mBaseTerm = 0;
  std::deque<Entry> mEntries;
};

LogIndex
LastIndex(const Log& aLog);

Term
LastTerm(const Log& aLog);

/// \return the term of the entry, or nothing if it is compacted or does not exist.
std::optional<Term>
TermAt(const Log& aLog, LogIndex aIndex);

/// \param aIndex must be held.
const Entry&
EntryAt(const Log& aLog, LogIndex aIndex);

/// Removes all entries from aIndex on.
void
RemoveFrom(Log& aLog, LogIndex aIndex);

/// Forgets the entries up to aIndex, which must be held or be the base.
void
Compact(Log& aLog, LogIndex aIndex);

/// \return entries from aFirst on, at most aMaxEntries, and at most aMaxBytes unless the first one
/// alone is larger.
std::vector<Entry>
Slice(const Log& aLog, LogIndex aFirst, size_t aMaxEntries, size_t aMaxBytes);

} // namespace Consensus
