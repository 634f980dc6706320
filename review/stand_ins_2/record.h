// What was sent, answered and run, one line each.
#ifndef LYNXGLADE_REVIEW_STAND_INS_2_RECORD_H_
#define LYNXGLADE_REVIEW_STAND_INS_2_RECORD_H_

#include <cstdlib>
#include <fstream>
#include <mutex>
#include <string>

#include "review/stand_ins_2/wire.h"

namespace lynxglade::review {

// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  // Begins each line with the milliseconds since the start.
  void Line(const std::string& text) {
    const std::lock_guard lock(mutex_);
    const auto ms =
        std::chrono::duration_cast<Millis>(Clock::now() - start_).count();
    file_ << ms << ' ' << text << std::endl;
  }

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream file_;
};

// Whether the disruption is part of the run.
inline bool HasTrouble() {
  const char* const text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_2_RECORD_H_
