#pragma once

#include "storage/fileport.h"

namespace Control {

/// \return file operations by system calls.
Storage::FilePort
PosixFiles();

} // namespace Control
