// Why settings were not taken.
#ifndef LYNXGLADE_PROCESS_SETTINGS_FAULT_H_
#define LYNXGLADE_PROCESS_SETTINGS_FAULT_H_

#include <string>
#include <vector>

namespace lynxglade::process {

// One line a fault, each naming the flag and what is allowed.
struct SettingsFault {
  std::vector<std::string> lines;
  // --help or --version was asked for and printed: not a fault.
  bool handled = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SETTINGS_FAULT_H_
