// Keeps quarantined contents in the platform's store.
//
// The instance whose evidence completed a verdict writes it under a key that is
// bound to a lease. All instances read it with the rest of their view, so that
// those that start, or were cut off, know it before they serve. An operator
// lists the keys; deleting one lifts the quarantine at every instance.
#ifndef LYNXGLADE_PROCESS_PEERS_QUARANTINE_RECORDS_H_
#define LYNXGLADE_PROCESS_PEERS_QUARANTINE_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/metrics.h"
#include "base/time.h"
#include "connection/event/http_types.h"
#include "process/store/store_port.h"
#include "process/view_item.h"
#include "request/content_hash.h"

namespace lynxglade::process::peers {

struct QuarantineRecordsOptions {
  std::string prefix = "lynxglade/quarantine/";
  // Bounds of a record's lifetime, which is that of the quarantine.
  base::Duration min_ttl = std::chrono::seconds(1);
  base::Duration max_ttl = std::chrono::minutes(10);
  base::Duration retry_interval = std::chrono::milliseconds(500);
  // Attempts to write a record; after that only the instances' messages have
  // it.
  int max_attempts = 40;
  // Records that wait to be written; further ones are dropped.
  std::size_t max_waiting = 64;
};

struct QuarantineRecordsHooks {
  // The content's mark; nothing if it has none any more.
  std::function<std::optional<ViewItem>(request::ContentHash)> read;
  // Until it expires.
  std::function<base::Duration(request::ContentHash)> time_left;
  std::function<void(const ViewItem&)> merge;
  std::function<void(request::ContentHash)> lift;
};

// The value of a record, and the reverse; nothing if it is malformed.
std::string EncodeQuarantineRecord(const ViewItem& item);
std::optional<ViewItem> DecodeQuarantineRecord(const std::string& key,
                                               const std::string& value,
                                               base::Time now);

// Not thread-safe: runs on the event loop.
class QuarantineRecords {
 public:
  QuarantineRecords(connection::event::asio::io_context& loop,
                    store::StorePort& store,
                    QuarantineRecordsHooks hooks,
                    QuarantineRecordsOptions options,
                    base::Clock clock,
                    base::Metrics& metrics);
  QuarantineRecords(const QuarantineRecords&) = delete;
  QuarantineRecords& operator=(const QuarantineRecords&) = delete;

  // This instance's evidence completed the verdict on the content.
  void OnVerdict(request::ContentHash content);
  // Take a full listing, and single changes, of keys.
  void OnList(const std::vector<store::StoreItem>& items);
  void OnChange(const store::StoreItem& item);

 private:
  connection::event::Awaitable<void> WriteAll();
  connection::event::Awaitable<bool> Write(request::ContentHash content);
  // The record is gone. A quarantine that came after it stays.
  void OnRemoved(request::ContentHash content, std::uint64_t epoch);
  // The content of a record's key; nothing for any other key.
  std::optional<request::ContentHash> ContentOf(const std::string& key) const;
  void Count(const char* outcome);

  connection::event::asio::io_context& loop_;
  store::StorePort& store_;
  const QuarantineRecordsHooks hooks_;
  const QuarantineRecordsOptions options_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  std::deque<request::ContentHash> waiting_;
  bool writing_ = false;
  // Epochs of the records, as last seen.
  std::map<request::ContentHash, std::uint64_t> known_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_QUARANTINE_RECORDS_H_
