// Files in memory that lose what was not synced, for tests.
//
//   FakeFiles disk;
//   StorageHooks storage = ... disk.Hooks() ...;
//   disk.Crash(random);   // keeps a random prefix of unsynced appends
#pragma once

#include <map>
#include <memory>
#include <string>

#include "base/random.h"
#include "disk/files.h"

namespace fuchsiaramp {

class FakeFiles
{
public:
  FileHooks Hooks();

  // Power loss: unsynced folder changes are undone, and of the unsynced bytes
  // of each file a random prefix remains.
  void Crash(Random& aRandom);
  // A new, empty disk.
  void Wipe();
  // Flips one bit of synced data; returns false when there is none.
  bool FlipBit(Random& aRandom);
  // Every later sync fails.
  void FailSyncs() { m_syncFails = true; }
  std::size_t BytesWritten() const { return m_bytesWritten; }

private:
  struct File
  {
    std::string data;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  std::shared_ptr<File>& Open(const std::string& aName);

  Names m_names;        // what the process sees
  Names m_durableNames; // what remains after a crash
  bool m_syncFails = false;
  std::size_t m_bytesWritten = 0;
};

} // namespace fuchsiaramp
