#include "base/digest.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace fuchsiaramp {

std::string
Sha256Hex(std::string_view aData)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aData.data()),
         aData.size(),
         digest.data());
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * digest.size());
  for (unsigned char byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace fuchsiaramp
