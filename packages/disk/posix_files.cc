#include "disk/posix_files.h"

#include <cerrno>
#include <filesystem>
#include <map>
#include <memory>

#include <fcntl.h>
#include <unistd.h>

#include "base/error.h"

namespace fuchsiaramp {
namespace internal {

static std::error_code
LastError()
{
  return { errno, std::generic_category() };
}

class Folder
{
public:
  explicit Folder(std::string aPath)
    : m_path(std::move(aPath))
  {
  }

  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  ~Folder()
  {
    for (const auto& [name, descriptor] : m_descriptors) {
      ::close(descriptor);
    }
  }

  std::vector<std::string> List() const
  {
    std::vector<std::string> names;
    for (const auto& item : std::filesystem::directory_iterator(m_path)) {
      names.push_back(item.path().filename().string());
    }
    return names;
  }

  std::error_code Read(const std::string& aName, std::string& aData)
  {
    int descriptor = -1;
    if (const std::error_code error = Open(aName, descriptor)) {
      return error;
    }
    aData.clear();
    char buffer[1 << 16];
    while (true) {
      const ssize_t count = ::pread(
        descriptor, buffer, sizeof(buffer), static_cast<off_t>(aData.size()));
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return LastError();
      }
      if (count == 0) {
        return {};
      }
      aData.append(buffer, static_cast<std::size_t>(count));
    }
  }

  std::error_code Append(const std::string& aName, std::string_view aData)
  {
    int descriptor = -1;
    if (const std::error_code error = Open(aName, descriptor)) {
      return error;
    }
    while (!aData.empty()) {
      const ssize_t count = ::write(descriptor, aData.data(), aData.size());
      if (count < 0 && errno == EINTR) {
        continue;
      }
      if (count < 0) {
        return LastError();
      }
      aData.remove_prefix(static_cast<std::size_t>(count));
    }
    return {};
  }

  std::error_code Truncate(const std::string& aName, std::size_t aSize)
  {
    int descriptor = -1;
    if (const std::error_code error = Open(aName, descriptor)) {
      return error;
    }
    return ::ftruncate(descriptor, static_cast<off_t>(aSize)) == 0
             ? std::error_code()
             : LastError();
  }

  std::error_code Sync(const std::string& aName)
  {
    int descriptor = -1;
    if (const std::error_code error = Open(aName, descriptor)) {
      return error;
    }
    return ::fdatasync(descriptor) == 0 ? std::error_code() : LastError();
  }

  std::error_code Rename(const std::string& aFrom, const std::string& aTo)
  {
    Close(aFrom);
    Close(aTo);
    std::error_code error;
    std::filesystem::rename(Path(aFrom), Path(aTo), error);
    return error;
  }

  std::error_code Remove(const std::string& aName)
  {
    Close(aName);
    std::error_code error;
    std::filesystem::remove(Path(aName), error);
    return error;
  }

  std::error_code SyncFolder() const
  {
    const int descriptor = ::open(m_path.c_str(), O_RDONLY | O_DIRECTORY);
    if (descriptor < 0) {
      return LastError();
    }
    const int result = ::fsync(descriptor);
    const std::error_code error = result == 0 ? std::error_code() : LastError();
    ::close(descriptor);
    return error;
  }

private:
  std::string Path(const std::string& aName) const
  {
    return m_path + '/' + aName;
  }

  std::error_code Open(const std::string& aName, int& aDescriptor)
  {
    const auto it = m_descriptors.find(aName);
    if (it != m_descriptors.end()) {
      aDescriptor = it->second;
      return {};
    }
    aDescriptor = ::open(
      Path(aName).c_str(), O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (aDescriptor < 0) {
      return LastError();
    }
    m_descriptors[aName] = aDescriptor;
    return {};
  }

  void Close(const std::string& aName)
  {
    const auto it = m_descriptors.find(aName);
    if (it != m_descriptors.end()) {
      ::close(it->second);
      m_descriptors.erase(it);
    }
  }

  std::string m_path;
  std::map<std::string, int> m_descriptors;
};

} // namespace internal

FileHooks
OpenFolder(const std::string& aPath, std::error_code& aError)
{
  std::filesystem::create_directories(aPath, aError);
  if (aError) {
    return {};
  }
  auto folder = std::make_shared<internal::Folder>(aPath);
  FileHooks hooks;
  hooks.list = [folder] { return folder->List(); };
  hooks.read = [folder](const std::string& aName, std::string& aData) {
    return folder->Read(aName, aData);
  };
  hooks.append = [folder](const std::string& aName, std::string_view aData) {
    return folder->Append(aName, aData);
  };
  hooks.truncate = [folder](const std::string& aName, std::size_t aSize) {
    return folder->Truncate(aName, aSize);
  };
  hooks.sync = [folder](const std::string& aName) {
    return folder->Sync(aName);
  };
  hooks.rename = [folder](const std::string& aFrom, const std::string& aTo) {
    return folder->Rename(aFrom, aTo);
  };
  hooks.remove = [folder](const std::string& aName) {
    return folder->Remove(aName);
  };
  hooks.syncFolder = [folder] { return folder->SyncFolder(); };
  return hooks;
}

} // namespace fuchsiaramp
