#include "process/peers/relay_selection.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

#include "base/hash.h"

namespace lynxglade::process::peers {

std::vector<InstancePeer> SharingGroup(const std::vector<InstancePeer>& peers,
                                       const RelaySelectionOptions& options) {
  std::vector<InstancePeer> all;
  std::ranges::copy_if(peers, std::back_inserter(all),
                       [&options](const InstancePeer& it) {
                         return it.instance != options.instance;
                       });
  InstancePeer self;
  self.instance = options.instance;
  self.zone = options.zone;
  self.link_mbps = options.link_mbps;
  all.push_back(self);
  std::map<base::ZoneId, std::size_t> sizes;
  std::ranges::for_each(all,
                        [&sizes](const InstancePeer& it) { ++sizes[it.zone]; });
  const bool by_zone = sizes[options.zone] >= options.min_instances;
  std::erase_if(all, [&](const InstancePeer& it) {
    return by_zone ? it.zone != options.zone
                   : sizes[it.zone] >= options.min_instances;
  });
  if (all.size() < options.min_instances) {
    all.clear();
  }
  return all;
}

std::vector<base::InstanceId> SelectRelays(
    const std::vector<InstancePeer>& peers,
    const RelaySelectionOptions& options) {
  auto group = SharingGroup(peers, options);
  const std::size_t n = std::min(
      group.size(),
      group.empty()
          ? 0
          : options.min_relays + group.size() / options.instances_per_relay);
  std::ranges::partial_sort(
      group, group.begin() + static_cast<std::ptrdiff_t>(n), {},
      [](const InstancePeer& it) {
        return std::tuple(-it.link_mbps, base::Hash64(it.instance.str()),
                          it.instance);
      });
  std::vector<base::InstanceId> relays;
  std::transform(group.begin(), group.begin() + static_cast<std::ptrdiff_t>(n),
                 std::back_inserter(relays),
                 [](const InstancePeer& it) { return it.instance; });
  return relays;
}

}  // namespace lynxglade::process::peers
