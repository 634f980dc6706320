#include "bench/quarantine/part_tally.h"

#include <algorithm>
#include <chrono>

#include "bench/sizes/served_count.h"

namespace lynxglade::bench {

namespace {

using request::ContentHash;

constexpr int kFreeCrashes = 5;
constexpr base::Duration kNotice = std::chrono::seconds(3);
constexpr base::Duration kSoundNotice = 2 * kNotice;
constexpr std::size_t kMinSound = 20;

}  // namespace

void PartTally::OnSent(ContentHash part, base::Time now) {
  Crashes& it = crashes_[part];
  it.sent_late +=
      it.count >= kFreeCrashes && now > it.counted + kNotice ? 1 : 0;
}

void PartTally::OnCrash(ContentHash part, base::Time now) {
  Crashes& it = crashes_[part];
  if (++it.count <= kFreeCrashes) {
    it.counted = now;
  }
}

void PartTally::OnSound(ContentHash first_part, bool begun, base::Time now) {
  sound_.push_back({now, first_part, begun});
}

int PartTally::SentLate(ContentHash part) const {
  const auto it = crashes_.find(part);
  return it == crashes_.end() ? 0 : it->second.sent_late;
}

double PartTally::BegunRatio(const CrashingPart& part,
                             base::Time start,
                             base::Time first) const {
  const auto crashes = crashes_.find(part.part);
  if (crashes == crashes_.end() || crashes->second.count == 0 ||
      part.position == 0) {
    return 1;
  }
  const base::Time from = crashes->second.counted + kSoundNotice;
  std::map<ContentHash, ServedCount> before;
  std::map<ContentHash, ServedCount> after;
  for (const Sound& it : sound_) {
    const bool is_before = it.at < first;
    if (is_before || (it.at >= from && it.at < start + part.end)) {
      ServedCount& count = (is_before ? before : after)[it.first_part];
      ++count.requests;
      count.served += it.begun ? 1 : 0;
    }
  }
  double least = 1;
  for (const auto& [first_part, count] : after) {
    const ServedCount& earlier = before[first_part];
    const bool shares = part.on_any_route || first_part.low() == part.route;
    if (shares && earlier.requests >= kMinSound &&
        count.requests >= kMinSound && earlier.served > 0) {
      least = std::min(least, count.Rate() / earlier.Rate());
    }
  }
  return least;
}

}  // namespace lynxglade::bench
