#include "fakes/details/flag_set.h"

#include <csignal>
#include <iostream>

namespace lynxglade::fakes {

namespace {

sigset_t StopSignals() {
  sigset_t set;
  ::sigemptyset(&set);
  ::sigaddset(&set, SIGINT);
  ::sigaddset(&set, SIGTERM);
  return set;
}

}  // namespace

// The --version flag of TCLAP would conflict with the model version flag.
FlagSet::FlagSet(const std::string& description)
    : cmd_(description, ' ', "", false),
      help_("h", "help", "shows the flags", cmd_) {
  cmd_.setExceptionHandling(false);
}

template <typename Value, typename Store>
void FlagSet::Add(const std::string& name,
                  const std::string& help,
                  const Value& value,
                  Store store) {
  auto arg = std::make_shared<TCLAP::ValueArg<Value>>("", name, help, false,
                                                      value, "value", cmd_);
  args_.push_back(arg);
  stores_.emplace_back([arg, store] { store(arg->getValue()); });
}

void FlagSet::Text(const std::string& name,
                   const std::string& help,
                   std::string* out) {
  Add(name, help, *out, [out](const std::string& v) { *out = v; });
}

void FlagSet::Integer(const std::string& name,
                      const std::string& help,
                      int* out) {
  Add(name, help, *out, [out](int v) { *out = v; });
}

void FlagSet::Number(const std::string& name,
                     const std::string& help,
                     double* out) {
  Add(name, help, *out, [out](double v) { *out = v; });
}

void FlagSet::Switch(const std::string& name,
                     const std::string& help,
                     bool* out) {
  Add(name, help, std::string(*out ? "true" : "false"),
      [out, name](const std::string& v) {
        if (v != "true" && v != "false") {
          throw TCLAP::ArgParseException("must be true or false", "--" + name);
        }
        *out = v == "true";
      });
}

void FlagSet::Millis(const std::string& name,
                     const std::string& help,
                     base::Duration* out) {
  Add(name, help, static_cast<int>(base::ToMillis(*out)),
      [out](int v) { *out = std::chrono::milliseconds(v); });
}

bool FlagSet::Parse(int argc, char** argv) {
  try {
    cmd_.parse(argc, argv);
    if (help_.getValue()) {
      TCLAP::StdOutput().usage(cmd_);
      std::exit(0);
    }
    for (const auto& store : stores_) {
      store();
    }
    return true;
  } catch (const TCLAP::ArgException& e) {
    std::cerr << e.argId() << ": " << e.error() << "\n";
  }
  return false;
}

void BlockStopSignals() {
  const sigset_t set = StopSignals();
  ::pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void WaitForStopSignal() {
  const sigset_t set = StopSignals();
  int signal = 0;
  ::sigwait(&set, &signal);
}

}  // namespace lynxglade::fakes
