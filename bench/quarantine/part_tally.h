// What requests with crashing parts, and sound ones beside them, met in a run
// of the simulated fleet.
#ifndef LYNXGLADE_BENCH_QUARANTINE_PART_TALLY_H_
#define LYNXGLADE_BENCH_QUARANTINE_PART_TALLY_H_

#include <map>
#include <vector>

#include "base/time.h"
#include "bench/quarantine/drawn_prompts.h"
#include "request/content_hash.h"

namespace lynxglade::bench {

class PartTally {
 public:
  // A request with the part was sent to an engine, or crashed one.
  void OnSent(request::ContentHash part, base::Time now);
  void OnCrash(request::ContentHash part, base::Time now);
  // A sound request's first attempt.
  void OnSound(request::ContentHash first_part, bool begun, base::Time now);

  // Requests sent more than 3 s after the part's fifth crash.
  int SentLate(request::ContentHash part) const;
  // The least that sound requests on the part's routes began at the first
  // attempt from 6 s after the part's fifth or last crash on, against how often
  // they did before `first`; 1 if there are too few. `start`: of the run.
  double BegunRatio(const CrashingPart& part,
                    base::Time start,
                    base::Time first) const;

 private:
  struct Crashes {
    int count = 0;
    int sent_late = 0;
    // The fifth one, or the last if there are fewer.
    base::Time counted{};
  };
  struct Sound {
    base::Time at;
    request::ContentHash first_part;
    bool begun;
  };

  std::map<request::ContentHash, Crashes> crashes_;
  std::vector<Sound> sound_;
};

}  // namespace lynxglade::bench

#endif  // LYNXGLADE_BENCH_QUARANTINE_PART_TALLY_H_
