// Determines the limits of requests on an entry host.
//
//   server.SetLimits(EffectiveLimits(settings.limits, lists.Limits()));
#pragma once

#include "net/http_server.h"
#include "settings/settings.h"
#include "wire/messages.h"

namespace fuchsiaramp {

// Limits of the lists override those of the settings, except that sizes never
// exceed the settings, which reflect the memory of the host.
HttpLimits
EffectiveLimits(const LimitSettings& aSettings,
                const wire::RequestLimits& aLists);

} // namespace fuchsiaramp
