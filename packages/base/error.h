// Error codes in one std::error_category.
//
//   std::error_code error = log.Open();
//   if (error == ErrorCode::kCorruptLog) { ... }
#pragma once

#include <system_error>

namespace fuchsiaramp {

enum class ErrorCode
{
  kOk = 0,
  kCorruptLog,       // the checksum of a log record does not match
  kWriteFailed,      // a write to disk failed
  kSyncFailed,       // syncing a file to disk failed
  kDiskFull,         // the data folder has reached its configured size
  kNotLeader,        // this control host is not the leader of the group
  kVersionConflict,  // the expected version is not the current one
  kInvalidLists,     // validation of the lists document failed
  kBadSettings,      // validation of the settings failed
  kMalformedMessage, // a message could not be decoded
  kUnreachable,      // no connection could be established
};

std::error_code
make_error_code(ErrorCode aCode);

} // namespace fuchsiaramp

template<>
struct std::is_error_code_enum<fuchsiaramp::ErrorCode> : std::true_type
{
};
