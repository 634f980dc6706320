// Whether a target accepts connections, as far as that can be told.
#include <algorithm>
#include <memory>
#include <utility>

#include "connection/event/socket_probe.h"
#include "process/peers/target_connector.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using request::passthrough::TargetPath;

}  // namespace

Awaitable<connection::event::ConnectEnd> TargetConnector::Reach(
    EngineHandle target) {
  const bool own =
      paths_.PathTo(target->entry, clock_()) != TargetPath::kThroughOthers;
  ConnectEnd end = ConnectEnd::kNoAnswer;
  if (own) {
    const auto socket = std::make_shared<Socket>(loop_);
    end = co_await ConnectTo(target, socket, options_.connect_timeout);
    connection::event::ResetSocket(*socket);
    if (end == ConnectEnd::kConnected) {
      co_return end;
    }
  }
  const ThroughOther other =
      co_await AskOthers(target, options_.connect_timeout, options_.max_asked);
  if (other.socket) {
    connection::event::ResetSocket(*other.socket);
  }
  switch (other.end) {
    case OthersEnd::kReached:
      co_return ConnectEnd::kConnected;
    case OthersEnd::kRefused:
      co_return ConnectEnd::kRefused;
    case OthersEnd::kSilent:
      co_return ConnectEnd::kNoAnswer;
    case OthersEnd::kUnknown:
      break;
  }
  if (end != ConnectEnd::kRefused) {
    co_return ConnectEnd::kNoAnswer;
  }
  const bool own_way = co_await ReachesNeighbours(target);
  metrics_
      .GetCounter("lynxglade_refusals_unconfirmed_total",
                  {{"own_way", own_way ? "yes" : "no"}})
      .Add();
  co_return own_way ? ConnectEnd::kRefused : ConnectEnd::kNoAnswer;
}

Awaitable<bool> TargetConnector::ReachesNeighbours(EngineHandle target) {
  std::vector<EngineHandle> group;
  std::vector<EngineHandle> zone;
  std::vector<EngineHandle> service;
  std::vector<EngineHandle> others;
  for (const EngineHandle& it : engines_.All()) {
    if (it->entry.ip == target->entry.ip &&
        it->entry.port == target->entry.port) {
      continue;
    }
    const bool same_zone = it->entry.zone == target->entry.zone;
    const bool same_service = it->entry.service == target->entry.service;
    if (same_zone && same_service) {
      group.push_back(it);
    } else if (same_zone) {
      zone.push_back(it);
    } else if (same_service) {
      service.push_back(it);
    } else {
      others.push_back(it);
    }
  }
  if (!group.empty()) {
    co_return co_await ReachesOneOf(std::move(group));
  }
  if (zone.empty() && service.empty()) {
    co_return co_await ReachesOneOf(std::move(others));
  }
  const bool in_zone = co_await ReachesOneOf(std::move(zone));
  if (!in_zone) {
    co_return false;
  }
  co_return co_await ReachesOneOf(std::move(service));
}

Awaitable<bool> TargetConnector::ReachesOneOf(
    std::vector<EngineHandle> targets) {
  if (targets.empty()) {
    co_return true;
  }
  for (std::size_t i = 0; i < std::min(options_.max_neighbours, targets.size());
       ++i) {
    std::swap(targets[i],
              targets[i + base::UniformBelow(random_, targets.size() - i)]);
    const auto socket = std::make_shared<Socket>(loop_);
    const ConnectEnd end =
        co_await ConnectTo(targets[i], socket, options_.check_timeout);
    connection::event::ResetSocket(*socket);
    if (end == ConnectEnd::kConnected) {
      co_return true;
    }
  }
  co_return false;
}

}  // namespace lynxglade::process::peers
