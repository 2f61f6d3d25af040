// Hash functions: SHA-256 for tokens and bodies, xxHash for rendezvous hashing
// and checksums.
//
//   std::string hash = Sha256Hex(token);
//   if (EqualConstantTime(hash, stored)) { ... }
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fuchsiaramp {

// Returns the SHA-256 of the data as 64 lower-case hexadecimal digits.
std::string
Sha256Hex(std::string_view aData);

// The same of the concatenation of the parts, without copying them.
std::string
Sha256Hex(std::initializer_list<std::string_view> aParts);

// Returns a 64-bit non-cryptographic hash (XXH3).
std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed = 0);

// The same of the concatenation of the parts, without copying them.
std::uint64_t
Hash64(std::initializer_list<std::string_view> aParts);

// Compares two strings in constant time, so that the time taken does not reveal
// the position of the first difference.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace fuchsiaramp
