// What was sent, answered and run, with the time since the start.
#ifndef LYNXGLADE_REVIEW_STAND_INS_RECORD_H_
#define LYNXGLADE_REVIEW_STAND_INS_RECORD_H_

#include <fstream>
#include <mutex>
#include <string>

#include "review/stand_ins/sockets.h"

namespace lynxglade::review {

// Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(path) {}

  // Since the start, in seconds.
  double Now() const;
  void Write(const std::string& line);

 private:
  const Clock::time_point start_ = Clock::now();
  std::mutex mutex_;
  std::ofstream out_;
};

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_RECORD_H_
