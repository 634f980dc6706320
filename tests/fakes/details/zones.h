// Assignment of availability zones to the fake instances of a program.
#ifndef LYNXGLADE_FAKES_DETAILS_ZONES_H_
#define LYNXGLADE_FAKES_DETAILS_ZONES_H_

#include <string>
#include <vector>

namespace lynxglade::fakes {

// Splits a comma-separated list.
std::vector<std::string> SplitZones(const std::string& text);

// Assigns zones round-robin.
const std::string& ZoneOf(const std::vector<std::string>& zones, int index);

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_DETAILS_ZONES_H_
