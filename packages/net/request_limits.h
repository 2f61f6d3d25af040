// Which limits of requests hold on an entry host.
//
//   server.SetLimits(EffectiveLimits(settings.limits, lists.Limits()));
#pragma once

#include "net/http_server.h"
#include "settings/settings.h"
#include "wire/messages.h"

namespace fuchsiaramp {

// The limits of the lists where they name one. The sizes that the settings
// allow bound them, since they are chosen for the memory of the host.
HttpLimits
EffectiveLimits(const LimitSettings& aSettings,
                const wire::RequestLimits& aLists);

} // namespace fuchsiaramp
