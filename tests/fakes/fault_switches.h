// Faults that a test switches on and off while a fake runs.
#ifndef LYNXGLADE_FAKES_FAULT_SWITCHES_H_
#define LYNXGLADE_FAKES_FAULT_SWITCHES_H_

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace lynxglade::fakes {

// Named numbers, set by JSON. A count n applies the fault to the next n
// occasions, `true` or -1 until cleared; `false` or 0 is off. Not thread-safe.
class FaultSwitches {
 public:
  // `defaults`: all fault names and their values when off.
  explicit FaultSwitches(std::map<std::string, double> defaults);

  // Sets each known member; `{"clear":true}` turns all faults off first.
  // Ignores members with an unknown name and those that are not a number or
  // boolean.
  void Apply(const nlohmann::json& switches);

  // Consumes one occasion; returns whether the fault is on.
  bool Take(const std::string& name);
  // Whether the fault is on, without consuming an occasion.
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
