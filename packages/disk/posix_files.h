// File operations on one folder of the operating system.
//
//   FileHooks files = OpenFolder("/var/lib/fuchsiaramp/group-0", error);
#pragma once

#include <string>
#include <system_error>

#include "disk/files.h"

namespace fuchsiaramp {

// Creates the folder when it does not exist. The hooks share one open file per
// name and close it on removal.
FileHooks
OpenFolder(const std::string& aPath, std::error_code& aError);

} // namespace fuchsiaramp
