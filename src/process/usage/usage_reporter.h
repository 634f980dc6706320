// Reports the usage of each window to the platform, as the holder of the
// duties.
//
// A report is written to the store before it is sent. Whoever holds the duties
// later sends exactly that report or none, so that the platform never receives
// two different reports of one window.
#ifndef LYNXGLADE_PROCESS_USAGE_USAGE_REPORTER_H_
#define LYNXGLADE_PROCESS_USAGE_USAGE_REPORTER_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/time.h"
#include "base/units.h"
#include "process/duties/duty_call.h"
#include "process/duties/duty_holder.h"
#include "process/store/store_port.h"
#include "process/usage/fleet_clock.h"
#include "process/usage/report_decision.h"
#include "process/usage/usage_table.h"

namespace lynxglade::process::usage {

struct UsageReport {
  WindowId window;
  UsageCounts counts;

  bool operator==(const UsageReport&) const = default;
};

// The text of a report in the store.
std::string EncodeReport(const UsageReport& report);
// Nothing for malformed text.
std::optional<UsageReport> DecodeReport(std::string_view text);

// The call to the platform, implemented by its adapter.
using SendUsage =
    std::function<connection::event::Awaitable<duties::CallResult>(
        const UsageReport& report,
        const duties::Credentials& credentials)>;

struct UsageReporterOptions {
  std::string key = "lynxglade/usage/report";
  base::InstanceId instance;
  // Window k begins k times this after the Unix epoch.
  base::Duration window = std::chrono::seconds(5);
  // Time after the end of a window by which its report must have arrived.
  base::Duration due = std::chrono::seconds(10);
  base::Duration period = std::chrono::milliseconds(200);
  // Between two tries of one call.
  base::Duration retry_delay = std::chrono::milliseconds(400);
  // The duties are given up after calls have failed for this long: another
  // instance may reach the platform. A takeover takes long itself, so short
  // failures are waited out.
  base::Duration max_failing_time = std::chrono::seconds(6);
  base::Duration resign_back_off = std::chrono::seconds(30);
  ReportTiming timing;
};

// Not thread-safe: runs on the event loop.
class UsageReporter {
 public:
  UsageReporter(connection::event::asio::io_context& loop,
                duties::DutyHolder& holder,
                store::StorePort& store,
                UsageTable& table,
                const FleetClock& fleet_clock,
                // The part of the counts that is probably missing for a window
                // that ended at the given time.
                std::function<double(base::Time end)> missing_part,
                SendUsage send,
                UsageReporterOptions options,
                base::Clock clock,
                base::Metrics& metrics);
  UsageReporter(const UsageReporter&) = delete;
  UsageReporter& operator=(const UsageReporter&) = delete;

  // Runs until Stop().
  connection::event::Awaitable<void> Run();
  // One step of Run().
  connection::event::Awaitable<void> Step();
  void Stop() noexcept { stopped_ = true; }

  // Take a listing, and a change, of the store's keys: every instance drops the
  // counts of windows that have been reported.
  void OnList(const std::vector<store::StoreItem>& items);
  void OnChange(const store::StoreItem& item);

  // The window of a point in time.
  WindowId WindowAt(base::Time time) const;

 private:
  // The newest report in the store.
  struct Recorded {
    std::optional<UsageReport> report;
    base::Revision revision;
    bool accepted = false;
  };

  connection::event::Awaitable<void> ReadRecorded();
  // Writes the report of the next window that is ready; false if there is none.
  connection::event::Awaitable<bool> RecordNext();
  // Counts the requests that came too late for the recorded report. They are
  // not reported.
  void RecordLateCounts();
  connection::event::Awaitable<void> SendRecorded();
  connection::event::Awaitable<void> HandleResult(duties::CallResult result);
  // Time since the end of a window by the fleet's clock; negative before it.
  base::Duration SinceEnd(WindowId window) const;
  void CountReport(std::string_view outcome);

  connection::event::asio::io_context& loop_;
  duties::DutyHolder& holder_;
  store::StorePort& store_;
  UsageTable& table_;
  const FleetClock& fleet_clock_;
  const std::function<double(base::Time end)> missing_part_;
  const SendUsage send_;
  const UsageReporterOptions options_;
  const base::Clock clock_;
  base::Metrics& metrics_;
  bool stopped_ = false;
  // Unset until read by this holder.
  std::optional<Recorded> recorded_;
  // The next window to report.
  WindowId next_;
  // The newest window whose report was seen in the store.
  WindowId reported_;
  base::Time retry_at_{};
  std::optional<base::Time> failing_since_;
};

}  // namespace lynxglade::process::usage

#endif  // LYNXGLADE_PROCESS_USAGE_USAGE_REPORTER_H_
