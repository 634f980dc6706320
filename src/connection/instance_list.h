// The platform's list of live and leaving instances, which lags.
//
// The last good list is kept while the platform is away, with its age, and is
// only replaced by one of at least its revision.
#ifndef LYNXGLADE_CONNECTION_INSTANCE_LIST_H_
#define LYNXGLADE_CONNECTION_INSTANCE_LIST_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/snapshot.h"
#include "base/time.h"
#include "base/units.h"
#include "connection/platform_fetch.h"

namespace lynxglade::connection {

// An entry instance: a lynxgladed process.
struct EntryRow {
  base::InstanceId id;
  base::ZoneId zone;
  std::string address;
  int port = 0;
  int peer_port = 0;
  bool leaving = false;
};

// A model engine or an instance of a plain service.
struct TargetRow {
  base::TargetId id;
  base::ServiceName service;
  base::ZoneId zone;
  std::string address;
  int port = 0;
  bool leaving = false;
  // Engines only: refuses orders of an older fencing token.
  bool fenced = false;

  bool operator==(const TargetRow&) const = default;
};

struct InstanceTable {
  // The platform's revision; 0 before the first list came.
  base::Revision revision{0};
  std::vector<EntryRow> entries;
  std::vector<TargetRow> engines;
  std::vector<TargetRow> plains;
  // Rows that were left out because they could not be read.
  int unreadable_rows = 0;
  // When the platform last confirmed this list.
  base::Time as_of{};
};

// Reads a list; nothing when it is no list or has more than kMaxInstanceRows.
std::optional<InstanceTable> ParseInstanceTable(std::string_view body);

// More rows than a fleet of 12,000 engines and their instances need.
inline constexpr std::size_t kMaxInstanceRows = 65536;

// Refresh() belongs to one thread and blocks; the queries are thread-safe.
class InstanceList {
 public:
  using Handle = std::shared_ptr<const InstanceTable>;

  InstanceList(PlatformFetch fetch, base::Clock clock);
  InstanceList(const InstanceList&) = delete;
  InstanceList& operator=(const InstanceList&) = delete;

  // Fetches once. Returns whether the held list is now confirmed; otherwise
  // it stays as it was and `last_error` says why.
  bool Refresh(PlatformError* last_error);

  // The last good list; empty with revision 0 before the first.
  Handle Get() const;
  // Time since the platform confirmed the held list; nothing before the first.
  std::optional<base::Duration> Age() const;
  // Lists refused because they were older than the one held.
  std::uint64_t older_lists() const noexcept;

 private:
  const PlatformFetch fetch_;
  const base::Clock clock_;
  base::Snapshot<InstanceTable> table_;
  // Of the text that `table_` was read from. Refresh() only.
  std::optional<std::uint64_t> body_hash_;
  std::atomic<std::uint64_t> older_lists_{0};
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_INSTANCE_LIST_H_
