// The availability zones of a stand-in program's instances.
#ifndef LYNXGLADE_FAKES_DETAILS_ZONES_H_
#define LYNXGLADE_FAKES_DETAILS_ZONES_H_

#include <string>
#include <vector>

namespace lynxglade::fakes {

// "a,b" gives a and b.
std::vector<std::string> SplitZones(const std::string& text);

// Instances take the zones in turn.
const std::string& ZoneOf(const std::vector<std::string>& zones, int index);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_ZONES_H_
