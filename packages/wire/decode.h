// Decodes messages that another writer or an earlier build may have written.
//
// protobuf writes text that is not valid UTF-8 but refuses to read it, and with
// it the whole message. Decode escapes the bytes that are not valid ("%ff"), so
// that an odd text costs neither the rest of a snapshot nor the start of a
// host.
//
//   std::size_t escaped = 0;
//   if (!Decode(bytes, message, escaped)) { ... not a message of this type ...
//   }
#pragma once

#include <cstddef>
#include <string_view>

#include <google/protobuf/message.h>

namespace fuchsiaramp {

// Returns whether aBytes is a message of this type. Adds the number of texts
// that were escaped to aEscaped.
bool
Decode(std::string_view aBytes,
       google::protobuf::Message& aMessage,
       std::size_t& aEscaped);

} // namespace fuchsiaramp
