// How the entry daemon's quarantine is connected: settings, records and logs.
#include <cstddef>
#include <cstdint>
#include <string>

#include "base/log.h"
#include "main/details/entry_daemon_details.h"
#include "request/passthrough/quarantine_options.h"

namespace lynxglade {

request::QuarantineOptions EntryDaemon::Details::QuarantineSettings() {
  auto options = request::passthrough::FleetQuarantineOptions();
  options.instances = [this] {
    return static_cast<std::size_t>(presence.Count());
  };
  return options;
}

process::peers::QuarantineRecordsHooks EntryDaemon::Details::QuarantineHooks() {
  return {.read =
              [this](request::ContentHash content) {
                return quarantine.Export(content, clock());
              },
          .time_left =
              [this](request::ContentHash content) {
                return quarantine.TimeLeft(content, clock());
              },
          .merge =
              [this](const process::ViewItem& mark) {
                if (peers) {
                  peers->quarantine_sharing().Merge(mark);
                } else {
                  quarantine.Merge(mark, clock());
                }
              },
          .lift =
              [this](request::ContentHash content) {
                if (peers) {
                  peers->quarantine_sharing().Lift(content);
                } else {
                  quarantine.Lift(content, clock());
                }
              }};
}

void EntryDaemon::Details::OnQuarantineEvent(
    const request::QuarantineEvent& event) {
  using request::QuarantineChange;
  metrics
      .GetCounter("lynxglade_quarantine_changes_total",
                  {{"change", std::string(ToString(event.change))},
                   {"source", event.merged ? "peer" : "own"}})
      .Add();
  base::Log(base::LogLevel::kInfo, "quarantine",
            {{"change", ToString(event.change)},
             {"grain", event.is_part ? "part" : "content"},
             {"content", ToHex(event.content)},
             {"crashes", static_cast<std::int64_t>(event.crashes)},
             {"confirmed", static_cast<std::int64_t>(event.confirmed)},
             {"alone", static_cast<std::int64_t>(event.alone)},
             {"age_ms", base::ToMillis(event.age)},
             {"target", event.target.str()},
             {"in_flight", event.shared},
             {"source", event.merged ? "peer" : "own"}});
  if ((event.change == QuarantineChange::kQuarantined && event.own_evidence) ||
      event.change == QuarantineChange::kExtended) {
    quarantine_records.OnVerdict(event.content);
  }
}

}  // namespace lynxglade
