// In-memory files for tests. A simulated crash loses unsynced data.
//
//   FakeFiles disk;
//   StorageHooks storage = ... disk.Hooks() ...;
//   disk.Crash(random);   // retains a random prefix of unsynced appends
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/random.h"
#include "disk/files.h"

namespace fuchsiaramp {

class FakeFiles
{
public:
  FileHooks Hooks();

  // Simulates a power loss: reverts unsynced folder changes and retains only a
  // random prefix of the unsynced bytes of each file.
  void Crash(Random& aRandom);
  // Replaces the disk with an empty one.
  void Wipe();
  // Flips one bit of synced data; returns false if there is no synced data.
  bool FlipBit(Random& aRandom);
  // Makes every sync fail until the next Crash() or Wipe().
  void FailSyncs() { m_failSyncs = true; }
  // Makes the disk refuse every write after the given number of further ones,
  // until Free(). Names can still be removed.
  void FillAfter(std::size_t aWrites) { m_writesUntilFull = aWrites; }
  void Free() { m_writesUntilFull.reset(); }
  bool IsFull() const { return m_writesUntilFull == 0; }
  std::size_t BytesWritten() const { return m_bytesWritten; }

private:
  struct File
  {
    std::string data;
    std::size_t synced = 0;
  };
  using Names = std::map<std::string, std::shared_ptr<File>>;

  std::shared_ptr<File>& Open(const std::string& aName);
  // Counts a write; returns whether the disk takes it.
  bool TakeWrite();

  Names m_names;        // as seen by the process
  Names m_durableNames; // as restored after a crash
  bool m_failSyncs = false;
  std::optional<std::size_t> m_writesUntilFull;
  std::size_t m_bytesWritten = 0;
};

} // namespace fuchsiaramp
