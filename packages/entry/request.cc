#include "entry/request.h"

namespace fuchsiaramp {

const char*
ToText(CallerOutcome aOutcome)
{
  switch (aOutcome) {
    case CallerOutcome::kAnswered:
      return "answered";
    case CallerOutcome::kNotRun:
      return "not-run";
    case CallerOutcome::kUnknown:
      break;
  }
  return "unknown";
}

} // namespace fuchsiaramp
