// A fake instance list that can be edited and is read with a lag.
#ifndef LYNXGLADE_FAKES_FAKE_INSTANCE_LIST_H_
#define LYNXGLADE_FAKES_FAKE_INSTANCE_LIST_H_

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

#include <nlohmann/json.hpp>

#include "base/time.h"

namespace lynxglade::fakes {

// Thread-safe. Rows are objects as specified in docs/PROTOCOLS.md.
class FakeInstanceList {
 public:
  FakeInstanceList(base::Clock clock, base::Duration lag);

  // Replaces all rows.
  void Replace(nlohmann::json rows);
  // Merges `changes` into the row with this id, or adds the row.
  void Change(const std::string& id, const nlohmann::json& changes);
  void Remove(const std::string& id);
  void set_lag(base::Duration lag);

  // {"revision","instances"} as of `lag` ago.
  nlohmann::json Lagging() const;
  // {"revision","instances"} without the lag.
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
