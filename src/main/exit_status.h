// Exit statuses of lynxgladed.
#ifndef LYNXGLADE_MAIN_EXIT_STATUS_H_
#define LYNXGLADE_MAIN_EXIT_STATUS_H_

#include <iostream>
#include <string>

#include "process/settings_fault.h"

namespace lynxglade {

inline constexpr int kExitOk = 0;
inline constexpr int kExitCannotStart = 1;
inline constexpr int kExitBadSettings = 2;

// Prints the reasons to standard error and returns the exit status.
inline int ReportBadSettings(const process::SettingsFault& fault) {
  for (const std::string& line : fault.lines) {
    std::cerr << "lynxgladed: " << line << "\n";
  }
  return fault.handled ? kExitOk : kExitBadSettings;
}

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_EXIT_STATUS_H_
