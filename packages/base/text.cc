#include "base/text.h"

#include <cstddef>

namespace fuchsiaramp {

struct Utf8Lead
{
  unsigned mask;
  unsigned value;
  std::size_t following;
  char32_t minimum; // shorter encodings of a character are invalid
};

static constexpr Utf8Lead kLeads[] = {
  { 0x80, 0x00, 0, 0x00 },
  { 0xe0, 0xc0, 1, 0x80 },
  { 0xf0, 0xe0, 2, 0x800 },
  { 0xf8, 0xf0, 3, 0x10000 },
};

// Removes the first character from the text; returns whether it is valid.
static bool
TakeCharacter(std::string_view& aText, char32_t& aCharacter)
{
  const auto first = static_cast<unsigned char>(aText.front());
  for (const Utf8Lead& lead : kLeads) {
    if ((first & lead.mask) != lead.value) {
      continue;
    }
    if (aText.size() <= lead.following) {
      return false;
    }
    aCharacter = first & ~lead.mask;
    for (std::size_t i = 1; i <= lead.following; ++i) {
      const auto next = static_cast<unsigned char>(aText[i]);
      if ((next & 0xc0U) != 0x80U) {
        return false;
      }
      aCharacter = aCharacter << 6U | (next & 0x3fU);
    }
    aText.remove_prefix(1 + lead.following);
    const bool surrogate = aCharacter >= 0xd800 && aCharacter <= 0xdfff;
    return aCharacter >= lead.minimum && aCharacter <= 0x10ffff && !surrogate;
  }
  return false;
}

bool
IsPrintable(std::string_view aText)
{
  while (!aText.empty()) {
    char32_t character = 0;
    if (!TakeCharacter(aText, character) || character < 0x20 ||
        character == 0x7f) {
      return false;
    }
  }
  return true;
}

bool
IsUtf8(std::string_view aText)
{
  char32_t character = 0;
  while (!aText.empty()) {
    if (!TakeCharacter(aText, character)) {
      return false;
    }
  }
  return true;
}

std::string
EscapeInvalidUtf8(std::string_view aText)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string escaped;
  while (!aText.empty()) {
    std::string_view rest = aText;
    char32_t character = 0;
    if (TakeCharacter(rest, character)) {
      escaped += aText.substr(0, aText.size() - rest.size());
      aText = rest;
      continue;
    }
    const auto byte = static_cast<unsigned char>(aText.front());
    escaped += '%';
    escaped += kDigits[byte >> 4U];
    escaped += kDigits[byte & 0xfU];
    aText.remove_prefix(1);
  }
  return escaped;
}

} // namespace fuchsiaramp
