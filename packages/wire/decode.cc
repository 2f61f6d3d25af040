#include "wire/decode.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include "base/text.h"

namespace fuchsiaramp {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::internal::WireFormatLite;

static void
AppendVarint(std::uint64_t aValue, std::string& aOut)
{
  while (aValue >= 0x80) {
    aOut += static_cast<char>((aValue & 0x7fU) | 0x80U);
    aValue >>= 7U;
  }
  aOut += static_cast<char>(aValue);
}

static bool
EscapeTexts(std::string_view aBytes,
            const Descriptor& aType,
            std::string& aOut,
            std::size_t& aEscaped);

// Appends the content of a length-delimited field with its length.
static bool
EscapeField(std::string_view aContent,
            const FieldDescriptor* aField,
            std::string& aOut,
            std::size_t& aEscaped)
{
  std::string content(aContent);
  if (aField != nullptr && aField->type() == FieldDescriptor::TYPE_STRING) {
    std::string escaped = EscapeInvalidUtf8(aContent);
    aEscaped += escaped == content ? 0 : 1;
    content = std::move(escaped);
  } else if (aField != nullptr &&
             aField->type() == FieldDescriptor::TYPE_MESSAGE) {
    content.clear();
    if (!EscapeTexts(aContent, *aField->message_type(), content, aEscaped)) {
      return false;
    }
  }
  AppendVarint(content.size(), aOut);
  aOut += content;
  return true;
}

// No message type contains itself, so the recursion is bounded.
static bool
EscapeTexts(std::string_view aBytes,
            const Descriptor& aType,
            std::string& aOut,
            std::size_t& aEscaped)
{
  google::protobuf::io::CodedInputStream input(
    reinterpret_cast<const std::uint8_t*>(aBytes.data()),
    static_cast<int>(aBytes.size()));
  const auto position = [&] {
    return static_cast<std::size_t>(input.CurrentPosition());
  };
  while (position() < aBytes.size()) {
    const std::size_t start = position();
    const std::uint32_t tag = input.ReadTag();
    if (WireFormatLite::GetTagWireType(tag) !=
        WireFormatLite::WIRETYPE_LENGTH_DELIMITED) {
      if (tag == 0 || !WireFormatLite::SkipField(&input, tag)) {
        return false;
      }
      aOut += aBytes.substr(start, position() - start);
      continue;
    }
    aOut += aBytes.substr(start, position() - start);
    std::uint32_t size = 0;
    if (!input.ReadVarint32(&size) || size > aBytes.size() - position()) {
      return false;
    }
    const std::string_view content = aBytes.substr(position(), size);
    const FieldDescriptor* field =
      aType.FindFieldByNumber(WireFormatLite::GetTagFieldNumber(tag));
    if (!input.Skip(static_cast<int>(size)) ||
        !EscapeField(content, field, aOut, aEscaped)) {
      return false;
    }
  }
  return true;
}

bool
Decode(std::string_view aBytes,
       google::protobuf::Message& aMessage,
       std::size_t& aEscaped)
{
  if (aMessage.ParseFromArray(aBytes.data(), static_cast<int>(aBytes.size()))) {
    return true;
  }
  std::string escapedBytes;
  std::size_t escaped = 0;
  if (!EscapeTexts(aBytes, *aMessage.GetDescriptor(), escapedBytes, escaped) ||
      escaped == 0) {
    return false;
  }
  aEscaped += escaped;
  return aMessage.ParseFromString(escapedBytes);
}

} // namespace fuchsiaramp
