#include "base/error.h"

#include <string>

namespace fuchsiaramp {
namespace internal {

class Category : public std::error_category
{
public:
  const char* name() const noexcept override { return "fuchsiaramp"; }

  std::string message(int aValue) const override
  {
    switch (static_cast<ErrorCode>(aValue)) {
      case ErrorCode::kOk:
        return "success";
      case ErrorCode::kCorruptLog:
        return "checksum mismatch in the log";
      case ErrorCode::kWriteFailed:
        return "write to disk failed";
      case ErrorCode::kSyncFailed:
        return "sync to disk failed";
      case ErrorCode::kDiskFull:
        return "data folder has reached its configured size";
      case ErrorCode::kNotLeader:
        return "this control host is not the leader";
      case ErrorCode::kVersionConflict:
        return "expected version does not match the current version";
      case ErrorCode::kInvalidLists:
        return "lists document is invalid";
      case ErrorCode::kBadSettings:
        return "settings are invalid";
      case ErrorCode::kMalformedMessage:
        return "message is malformed";
      case ErrorCode::kUnreachable:
        return "no connection could be established";
    }
    return "unknown error";
  }
};

} // namespace internal

std::error_code
make_error_code(ErrorCode aCode)
{
  static const internal::Category kCategory;
  return { static_cast<int>(aCode), kCategory };
}

} // namespace fuchsiaramp
