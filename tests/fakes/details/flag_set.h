// Command-line flags of the fake programs.
#ifndef LYNXGLADE_FAKES_DETAILS_FLAG_SET_H_
#define LYNXGLADE_FAKES_DETAILS_FLAG_SET_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <tclap/CmdLine.h>

#include "base/time.h"

namespace lynxglade::fakes {

// The value of a variable is the default of its flag; Parse() sets the
// variable.
class FlagSet {
 public:
  explicit FlagSet(const std::string& description);
  FlagSet(const FlagSet&) = delete;
  FlagSet& operator=(const FlagSet&) = delete;

  void Text(const std::string& name, const std::string& help, std::string* out);
  void Integer(const std::string& name, const std::string& help, int* out);
  void Number(const std::string& name, const std::string& help, double* out);
  // "true" or "false".
  void Switch(const std::string& name, const std::string& help, bool* out);
  // An integer number of milliseconds.
  void Millis(const std::string& name,
              const std::string& help,
              base::Duration* out);

  // On a bad flag prints the error to stderr and returns false.
  bool Parse(int argc, char** argv);

 private:
  template <typename Value, typename Store>
  void Add(const std::string& name,
           const std::string& help,
           const Value& value,
           Store store);

  TCLAP::CmdLine cmd_;
  TCLAP::SwitchArg help_;
  std::vector<std::shared_ptr<TCLAP::Arg>> args_;
  std::vector<std::function<void()>> stores_;
};

// Blocks until SIGINT or SIGTERM; call BlockStopSignals() before the first
// thread starts.
void BlockStopSignals();
void WaitForStopSignal();

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_FLAG_SET_H_
