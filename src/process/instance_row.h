// One entry instance as the platform's instance list shows it.
#ifndef LYNXGLADE_PROCESS_INSTANCE_ROW_H_
#define LYNXGLADE_PROCESS_INSTANCE_ROW_H_

#include <string>

#include "base/ids.h"

namespace lynxglade::process {

// The list lags: a row may name an instance that is gone, and a running
// instance may have no row yet.
struct InstanceRow {
  base::InstanceId id;
  base::ZoneId zone;
  // IP number and port of its peer link.
  std::string address;
  int peer_port = 0;
  bool leaving = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_INSTANCE_ROW_H_
