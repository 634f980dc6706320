// A fleet of instances that share a quarantine, before engines that crash, in
// one process and on simulated time. Shows how many engines are lost to each
// content that crashes them, and what harmless contents pay, for different
// options and ways to share.
//
// The part that decides is that of the daemon. Harmless requests are streams of
// distinct contents with prompts, some of which are resumed after a crash, and
// short calls of a few contents that many callers send. What crashes engines is
// a content, or a part of the prompts of requests that are otherwise new.
#ifndef LYNXGLADE_BENCH_QUARANTINE_QUARANTINE_FLEET_H_
#define LYNXGLADE_BENCH_QUARANTINE_QUARANTINE_FLEET_H_

#include <cstdint>
#include <optional>

#include "base/time.h"
#include "request/quarantine.h"

namespace lynxglade::bench {

struct QuarantineFleetSettings {
  int instances = 7;
  int engines = 12;
  // Nothing: no quarantine.
  std::optional<request::QuarantineOptions> options;
  // Whether instances tell each other their marks.
  bool shares = true;
  // Delay of a mark, and the fraction that an instance does not receive.
  base::Duration delay = std::chrono::milliseconds(40);
  double loss = 0.01;
  // Contents that crash their engines, each sent again and again for 15 s.
  int crashing_contents = 3;
  double copies_per_second = 1.2;
  // Parts of prompts that crash their engines, and requests with each a second.
  int crashing_parts = 0;
  double part_requests_per_second = 1.2;
  // Whether parts differ in position, frequency, companions, times and chances.
  bool vary_parts = false;
  // Crashes of single engines for other causes.
  double other_crashes_per_second = 0;
  // Half of the engines crash at once, this often.
  int mass_crashes = 0;
  // Harmless streams a second.
  double streams_per_second = 60;
  double resumable_fraction = 0.5;
  std::uint64_t seed = 1;
};

struct QuarantineFleetResult {
  // Crashes by the content that caused the most of them, and by all.
  int most_engines_lost = 0;
  int engines_lost = 0;
  // Harmless requests, those whose last try the quarantine refused, and the
  // contents among them that were quarantined.
  int harmless = 0;
  int harmless_refused = 0;
  int harmless_quarantined = 0;
  // Longest time from the first to the last refusal of a harmless content.
  double longest_refused_seconds = 0;
  // Requests with a crashing part that were sent more than 3 s after its fifth
  // crash; of the part with the most.
  int most_sent_late = 0;
  // Parts that were quarantined and crash no engine; without those that only
  // come with a part that does.
  int parts_condemned_wrongly = 0;
  // Sound requests with the same first part as crashing ones: how often they
  // began at the first attempt from 6 s after the fifth crash (the last, if
  // there are fewer) to the end of the crashing ones, against how often they
  // did before. The least of all first parts with 20 requests or more of each.
  double least_begun_ratio = 1;
  // Messages with marks that an instance receives, in all.
  double marks_received = 0;
};

// Runs one fleet for a minute.
QuarantineFleetResult RunQuarantineFleet(
    const QuarantineFleetSettings& settings);

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_QUARANTINE_QUARANTINE_FLEET_H_
