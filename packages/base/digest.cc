#include "base/digest.h"

#include <array>
#include <memory>
#include <new>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace fuchsiaramp {

using Sha256Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

static std::string
Hex(const Sha256Digest& aDigest)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(2 * aDigest.size());
  for (unsigned char byte : aDigest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

std::string
Sha256Hex(std::string_view aData)
{
  Sha256Digest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aData.data()),
         aData.size(),
         digest.data());
  return Hex(digest);
}

std::string
Sha256Hex(std::initializer_list<std::string_view> aParts)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
    EVP_MD_CTX_new(), EVP_MD_CTX_free);
  Sha256Digest digest{};
  bool ok = context != nullptr &&
            EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1;
  for (const std::string_view part : aParts) {
    ok = ok && EVP_DigestUpdate(context.get(), part.data(), part.size()) == 1;
  }
  // Only a lack of memory makes these calls fail.
  if (!ok || EVP_DigestFinal_ex(context.get(), digest.data(), nullptr) != 1) {
    throw std::bad_alloc();
  }
  return Hex(digest);
}

std::uint64_t
Hash64(std::string_view aData, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aData.data(), aData.size(), aSeed);
}

std::uint64_t
Hash64(std::initializer_list<std::string_view> aParts)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
    XXH3_createState(), XXH3_freeState);
  if (state == nullptr) {
    throw std::bad_alloc();
  }
  XXH3_64bits_reset(state.get());
  for (const std::string_view part : aParts) {
    XXH3_64bits_update(state.get(), part.data(), part.size());
  }
  return XXH3_64bits_digest(state.get());
}

bool
EqualConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace fuchsiaramp
