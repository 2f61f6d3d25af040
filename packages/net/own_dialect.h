// The product's own interface: paths under /.well-known/fuchsiaramp/ and
// headers that begin with Fuchsiaramp-.
#pragma once

#include "net/dialect.h"

namespace fuchsiaramp {

Dialect
OwnDialect(const Settings& aSettings);

} // namespace fuchsiaramp
