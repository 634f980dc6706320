// The platform's list of live and leaving instances and targets, which may be
// stale.
//
// The last valid list is kept, with its age, while the platform is unavailable.
// It is only replaced by a list of the same or a newer revision.
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
  // Engines only: rejects orders with an older fencing token.
  bool fenced = false;

  bool operator==(const TargetRow&) const = default;
};

struct InstanceTable {
  // Revision of the list; 0 before the first list was read.
  base::Revision revision{0};
  std::vector<EntryRow> entries;
  std::vector<TargetRow> engines;
  std::vector<TargetRow> plains;
  // Rows that were skipped because they could not be parsed.
  int unreadable_rows = 0;
  // When the platform last returned this list.
  base::Time as_of{};
};

// Parses a list. Returns nullopt if it is malformed or has more than
// kMaxInstanceRows rows.
std::optional<InstanceTable> ParseInstanceTable(std::string_view body);

inline constexpr std::size_t kMaxInstanceRows = 65536;

// Refresh() blocks and must be called by one thread; the queries are
// thread-safe.
class InstanceList {
 public:
  using Handle = std::shared_ptr<const InstanceTable>;

  InstanceList(PlatformFetch fetch, base::Clock clock);
  InstanceList(const InstanceList&) = delete;
  InstanceList& operator=(const InstanceList&) = delete;

  // Fetches the list once. Returns true if the held list is up to date then; on
  // failure the held list is unchanged and `last_error` is set.
  bool Refresh(PlatformError* last_error);

  // The last valid list; empty with revision 0 before the first one.
  Handle Get() const;
  // Time since the platform last returned the held list; nullopt before the
  // first one.
  std::optional<base::Duration> Age() const;
  // Number of lists rejected because they were older than the held one.
  std::uint64_t older_lists() const noexcept;

 private:
  const PlatformFetch fetch_;
  const base::Clock clock_;
  base::Snapshot<InstanceTable> table_;
  // Hash of the text from which `table_` was parsed. Used by Refresh() only.
  std::optional<std::uint64_t> body_hash_;
  std::atomic<std::uint64_t> older_lists_{0};
};

}  // namespace lynxglade::connection

#endif  // LYNXGLADE_CONNECTION_INSTANCE_LIST_H_
