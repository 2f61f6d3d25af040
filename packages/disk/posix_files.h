// File operations on one folder of a POSIX file system.
//
//   FileHooks files = OpenFolder("/var/lib/fuchsiaramp/group-0", error);
#pragma once

#include <string>
#include <system_error>

#include "disk/files.h"

namespace fuchsiaramp {

// Creates the folder if it does not exist. The hooks share one file descriptor
// per name, which is closed when the file is renamed or removed.
FileHooks
OpenFolder(const std::string& aPath, std::error_code& aError);

} // namespace fuchsiaramp
