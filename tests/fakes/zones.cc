#include "fakes/details/zones.h"

#include <algorithm>

namespace lynxglade::fakes {

std::vector<std::string> SplitZones(const std::string& text) {
  std::vector<std::string> zones;
  std::string::size_type begin = 0;
  while (begin <= text.size()) {
    const auto end = std::min(text.find(',', begin), text.size());
    zones.push_back(text.substr(begin, end - begin));
    begin = end + 1;
  }
  return zones;
}

const std::string& ZoneOf(const std::vector<std::string>& zones, int index) {
  return zones[static_cast<std::size_t>(index) % zones.size()];
}

}  // namespace lynxglade::fakes
