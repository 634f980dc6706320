// A row of the platform's instance list that describes an entry instance.
#ifndef LYNXGLADE_PROCESS_INSTANCE_ROW_H_
#define LYNXGLADE_PROCESS_INSTANCE_ROW_H_

#include <string>

#include "base/ids.h"

namespace lynxglade::process {

// The list is eventually consistent: a row may name an instance that is gone,
// and a running instance may have no row yet.
struct InstanceRow {
  base::InstanceId id;
  base::ZoneId zone;
  // IP address and port for peer links.
  std::string address;
  int peer_port = 0;
  bool leaving = false;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_INSTANCE_ROW_H_
