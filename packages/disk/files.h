// The file operations that durable storage requires, as hooks.
//
// Names are relative to one data folder. Data is durable only after sync, and a
// rename or removal only after syncFolder.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace fuchsiaramp {

struct FileHooks
{
  std::function<std::vector<std::string>()> list;
  std::function<std::error_code(const std::string& aName, std::string& aData)>
    read;
  // Creates the file if it does not exist.
  std::function<std::error_code(const std::string& aName,
                                std::string_view aData)>
    append;
  std::function<std::error_code(const std::string& aName, std::size_t aSize)>
    truncate;
  std::function<std::error_code(const std::string& aName)> sync;
  std::function<std::error_code(const std::string& aFrom,
                                const std::string& aTo)>
    rename;
  std::function<std::error_code(const std::string& aName)> remove;
  std::function<std::error_code()> syncFolder;
};

} // namespace fuchsiaramp
