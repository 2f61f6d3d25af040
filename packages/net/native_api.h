// The project's own HTTP API: paths under /.well-known/fuchsiaramp/ and headers
// that begin with Fuchsiaramp-.
#pragma once

#include "net/external_api.h"

namespace fuchsiaramp {

ExternalApi
NativeApi(const Settings& aSettings);

} // namespace fuchsiaramp
