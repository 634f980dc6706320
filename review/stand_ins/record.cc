#include "review/stand_ins/record.h"

#include <array>
#include <cstdio>

namespace lynxglade::review {

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - start_).count();
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%8.3f ", Now());
  out_ << time.data() << line << std::endl;
}

}  // namespace lynxglade::review
