#include "process/peers/relay_selection.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <tuple>

#include "base/hash.h"

namespace lynxglade::process::peers {

namespace {

// The least first.
auto RankOf(const InstancePeer& instance) {
  return std::tuple(-instance.link_mbps, base::Hash64(instance.instance.str()),
                    instance.instance);
}

std::ptrdiff_t RelayCount(std::size_t group_size,
                          const RelaySelectionOptions& options) {
  if (group_size == 0) {
    return 0;
  }
  return static_cast<std::ptrdiff_t>(
      std::min(group_size,
               options.min_relays + group_size / options.instances_per_relay));
}

}  // namespace

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
  const auto end = group.begin() + RelayCount(group.size(), options);
  std::ranges::partial_sort(group, end, {}, RankOf);
  std::vector<base::InstanceId> relays;
  std::transform(group.begin(), end, std::back_inserter(relays),
                 [](const InstancePeer& it) { return it.instance; });
  return relays;
}

std::vector<InstancePeer> RankWithoutRelays(
    const std::vector<InstancePeer>& peers,
    const RelaySelectionOptions& options) {
  auto group = SharingGroup(peers, options);
  std::ranges::sort(group, {}, RankOf);
  group.erase(group.begin(), group.begin() + RelayCount(group.size(), options));
  return group;
}

}  // namespace lynxglade::process::peers
