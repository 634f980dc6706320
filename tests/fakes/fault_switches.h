// Faults that a test switches on while a stand-in runs.
#ifndef LYNXGLADE_FAKES_FAULT_SWITCHES_H_
#define LYNXGLADE_FAKES_FAULT_SWITCHES_H_

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace lynxglade::fakes {

// Named numbers, set by JSON. A count n means the next n occasions, `true` or
// -1 means until cleared, `false` or 0 means off. Not thread-safe.
class FaultSwitches {
 public:
  // Known names and their values while off.
  explicit FaultSwitches(std::map<std::string, double> defaults);

  // Sets every known member; `{"clear":true}` turns all off first. Members
  // that are no number, boolean or known name are left for the caller.
  void Apply(const nlohmann::json& switches);

  // Uses one occasion; true when the fault is on.
  bool Take(const std::string& name);
  // Whether it is on, without using it.
  bool IsOn(const std::string& name) const;
  double Value(const std::string& name) const;
  void Set(const std::string& name, double value);

  nlohmann::json ToJson() const;

 private:
  std::map<std::string, double> defaults_;
  std::map<std::string, double> values_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_FAULT_SWITCHES_H_
