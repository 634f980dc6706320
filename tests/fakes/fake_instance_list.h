// The stand-in instance list: editable, and read with a lag.
#ifndef LYNXGLADE_FAKES_FAKE_INSTANCE_LIST_H_
#define LYNXGLADE_FAKES_FAKE_INSTANCE_LIST_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "base/time.h"

namespace lynxglade::fakes {

// Thread-safe. Rows are objects as docs/PROTOCOLS.md has them.
class FakeInstanceList {
 public:
  FakeInstanceList(base::Clock clock, base::Duration lag);

  // Replaces all rows.
  void Replace(nlohmann::json rows);
  // Merges `changes` into the row of that id, or adds one.
  void Change(const std::string& id, const nlohmann::json& changes);
  void Remove(const std::string& id);
  void set_lag(base::Duration lag);

  // {"revision","instances"} as it was a lag ago.
  nlohmann::json Lagging() const;
  // The same as it is.
  nlohmann::json Latest() const;

 private:
  struct Edition {
    base::Time at;
    std::int64_t revision;
    nlohmann::json rows;
  };

  void Publish(nlohmann::json rows);
  nlohmann::json RowsWithout(const std::string& id) const;

  const base::Clock clock_;
  mutable std::mutex mutex_;
  base::Duration lag_;
  // Oldest first; never empty.
  std::deque<Edition> editions_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_FAKE_INSTANCE_LIST_H_
