// Checks the numbers of an open route, both in a document of an operator and in
// stored lists, which an earlier build may have accepted.
//
//   const std::string problem = FindProblem(route);
//   if (!problem.empty()) { ... refuse the document, or leave the route out }
#pragma once

#include <cstdint>
#include <string>

#include "wire/messages.h"

namespace fuchsiaramp {

// Spans up to this one can be added to any time point.
inline constexpr std::int64_t kMaxSpanUs = 9'000'000'000'000'000;
// Sums of weights up to this one lose no share.
inline constexpr double kMaxWeight = 1e12;

// Why no request could be served by the route; empty if one can.
std::string
FindProblem(const wire::Route& aRoute);

} // namespace fuchsiaramp
