// The error codes of the project, as one std::error_category.
//
//   std::error_code error = log.Open();
//   if (error == ErrorCode::kCorruptLog) { ... }
#pragma once

#include <system_error>

namespace fuchsiaramp {

enum class ErrorCode
{
  kOk = 0,
  kCorruptLog,       // a checksum inside the log does not match
  kWriteFailed,      // a write to disk failed
  kSyncFailed,       // a sync to disk failed
  kDiskFull,         // the configured size of the data folder is reached
  kNotLeader,        // this control host does not lead the group
  kVersionConflict,  // the expected version is not the current one
  kInvalidLists,     // the lists document has findings
  kBadSettings,      // the settings document has findings
  kMalformedMessage, // a message could not be decoded
  kUnreachable,      // no connection could be made
};

std::error_code
make_error_code(ErrorCode aCode);

} // namespace fuchsiaramp

template<>
struct std::is_error_code_enum<fuchsiaramp::ErrorCode> : std::true_type
{
};
