#include "disk/fake_files.h"

#include "base/error.h"

namespace fuchsiaramp {

std::shared_ptr<FakeFiles::File>&
FakeFiles::Open(const std::string& aName)
{
  std::shared_ptr<File>& file = m_names[aName];
  if (!file) {
    file = std::make_shared<File>();
  }
  return file;
}

bool
FakeFiles::TakeWrite()
{
  if (!m_writesUntilFull) {
    return true;
  }
  if (*m_writesUntilFull == 0) {
    return false;
  }
  --*m_writesUntilFull;
  return true;
}

FileHooks
FakeFiles::Hooks()
{
  FileHooks hooks;
  hooks.list = [this] {
    std::vector<std::string> names;
    for (const auto& [name, file] : m_names) {
      names.push_back(name);
    }
    return names;
  };
  hooks.read = [this](const std::string& aName, std::string& aData) {
    aData = Open(aName)->data;
    return std::error_code();
  };
  hooks.append = [this](const std::string& aName,
                        std::string_view aData) -> std::error_code {
    if (!TakeWrite()) {
      return ErrorCode::kDiskFull;
    }
    Open(aName)->data += aData;
    m_bytesWritten += aData.size();
    return {};
  };
  hooks.truncate = [this](const std::string& aName,
                          std::size_t aSize) -> std::error_code {
    if (!TakeWrite()) {
      return ErrorCode::kDiskFull;
    }
    const std::shared_ptr<File>& file = Open(aName);
    file->data.resize(aSize);
    file->synced = std::min(file->synced, aSize);
    return {};
  };
  hooks.sync = [this](const std::string& aName) -> std::error_code {
    if (m_failSyncs) {
      return ErrorCode::kSyncFailed;
    }
    const std::shared_ptr<File>& file = Open(aName);
    file->synced = file->data.size();
    return {};
  };
  hooks.rename = [this](const std::string& aFrom,
                        const std::string& aTo) -> std::error_code {
    if (!TakeWrite()) {
      return ErrorCode::kDiskFull;
    }
    m_names[aTo] = Open(aFrom);
    m_names.erase(aFrom);
    return {};
  };
  hooks.remove = [this](const std::string& aName) {
    m_names.erase(aName);
    return std::error_code();
  };
  hooks.syncFolder = [this]() -> std::error_code {
    if (m_failSyncs) {
      return ErrorCode::kSyncFailed;
    }
    m_durableNames = m_names;
    return {};
  };
  return hooks;
}

void
FakeFiles::Crash(Random& aRandom)
{
  m_names = m_durableNames;
  m_failSyncs = false;
  for (auto& [name, file] : m_names) {
    const std::size_t unsynced = file->data.size() - file->synced;
    const std::size_t kept = unsynced == 0 ? 0 : aRandom.Below(unsynced + 1);
    file->data.resize(file->synced + kept);
    file->synced = file->data.size();
  }
}

void
FakeFiles::Wipe()
{
  m_names.clear();
  m_durableNames.clear();
  m_failSyncs = false;
}

bool
FakeFiles::FlipBit(Random& aRandom)
{
  std::vector<std::shared_ptr<File>> filled;
  for (const auto& [name, file] : m_durableNames) {
    if (file->synced > 0) {
      filled.push_back(file);
    }
  }
  if (filled.empty()) {
    return false;
  }
  File& file = *filled[aRandom.Below(filled.size())];
  char& byte = file.data[aRandom.Below(file.synced)];
  byte = static_cast<char>(static_cast<unsigned char>(byte) ^
                           (1U << aRandom.Below(8)));
  return true;
}

} // namespace fuchsiaramp
