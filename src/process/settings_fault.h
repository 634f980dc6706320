// Errors found while parsing settings.
#ifndef LYNXGLADE_PROCESS_SETTINGS_FAULT_H_
#define LYNXGLADE_PROCESS_SETTINGS_FAULT_H_

#include <string>
#include <vector>

namespace lynxglade::process {

// One line per error, with the flag and the expected values.
struct SettingsFault {
  std::vector<std::string> lines;
  // --help or --version was printed; not an error.
  bool handled = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_SETTINGS_FAULT_H_
