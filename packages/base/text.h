// Checks of text that comes from outside.
//
//   if (!IsPrintable(name)) { ... refuse it ... }
#pragma once

#include <string>
#include <string_view>

namespace fuchsiaramp {

// Whether the text is valid UTF-8 without control characters. Messages cannot
// carry other text; control characters would end a header or a line of a log.
bool
IsPrintable(std::string_view aText);

bool
IsUtf8(std::string_view aText);

// Writes the bytes that are not valid UTF-8 as "%ff".
std::string
EscapeInvalidUtf8(std::string_view aText);

} // namespace fuchsiaramp
