#pragma once

#include "storage/directory.h"

#include <optional>

namespace Storage::Internal {

constexpr char kTermFile[] = "term";
constexpr char kTemporarySuffix[] = ".tmp";

std::string
SegmentName(uint64_t aSequence);

std::string
SnapshotName(Consensus::LogIndex aIndex);

/// \return the index in the name of a snapshot file, or std::nullopt for other files.
std::optional<uint64_t>
SnapshotNumber(const std::string& aName);

} // namespace Storage::Internal
