// Digests: SHA-256 for tokens and bodies, xxHash for placement and checksums.
//
//   std::string hash = Sha256Hex(token);
//   if (EqualConstantTime(hash, stored)) { ... }
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiaramp {

// Lower-case hexadecimal SHA-256, 64 characters.
std::string
Sha256Hex(std::string_view aData);

// 64-bit non-cryptographic hash.
std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed = 0);

// Compares without leaking the position of the first difference.
bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight);

} // namespace fuchsiaramp
