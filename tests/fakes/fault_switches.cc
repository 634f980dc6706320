#include "fakes/fault_switches.h"

#include <utility>

namespace lynxglade::fakes {

namespace {

constexpr double kUntilCleared = -1;

}  // namespace

FaultSwitches::FaultSwitches(std::map<std::string, double> defaults)
    : defaults_(std::move(defaults)), values_(defaults_) {}

void FaultSwitches::Apply(const nlohmann::json& switches) {
  if (switches.value("clear", false)) {
    values_ = defaults_;
  }
  for (auto& [name, value] : values_) {
    const auto it = switches.find(name);
    if (it == switches.end()) {
      continue;
    }
    if (it->is_boolean()) {
      value = it->get<bool>() ? kUntilCleared : defaults_.at(name);
    } else if (it->is_number()) {
      value = it->get<double>();
    }
  }
}

bool FaultSwitches::Take(const std::string& name) {
  double& value = values_.at(name);
  if (value > 0) {
    --value;
    return true;
  }
  return value < 0;
}

bool FaultSwitches::IsOn(const std::string& name) const {
  return values_.at(name) != 0;
}

double FaultSwitches::Value(const std::string& name) const {
  return values_.at(name);
}

void FaultSwitches::Set(const std::string& name, double value) {
  values_.at(name) = value;
}

nlohmann::json FaultSwitches::ToJson() const {
  return values_;
}

}  // namespace lynxglade::fakes
