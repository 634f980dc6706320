#include "process/peers/target_connector.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "base/log.h"
#include "connection/event/connect.h"
#include "connection/event/sleep.h"
#include "connection/event/socket_probe.h"
#include "connection/event/tasks.h"
#include "connection/event/tunnel.h"
#include "request/passthrough/engine_address.h"

namespace lynxglade::process::peers {

namespace {

using connection::event::Awaitable;
using connection::event::Channel;
using connection::event::Connect;
using connection::event::ErrorCode;
using connection::event::Into;
using connection::event::OpenTunnel;
using connection::event::SleepFor;
using connection::event::Spawn;
using connection::event::Tcp;
using connection::event::TunnelReply;
using request::passthrough::EndpointOf;
using request::passthrough::TargetGroup;
using request::passthrough::TargetPath;
namespace asio = connection::event::asio;

// An id that could not be sent in a header names no target elsewhere.
bool IsSendable(const base::TargetId& id) {
  return std::ranges::all_of(
      id.str(), [](unsigned char it) { return it > 0x20 && it < 0x7f; });
}

}  // namespace

struct TargetConnector::Race {
  Race(asio::io_context& loop, EngineHandle it, base::Time now)
      : target(std::move(it)),
        direct(std::make_shared<Socket>(loop)),
        began(now) {}

  bool decided() const noexcept {
    return direct_end == ConnectEnd::kConnected ||
           (other && other->end == OthersEnd::kReached) ||
           (direct_end && other);
  }

  const EngineHandle target;
  std::shared_ptr<Socket> direct;
  const base::Time began;
  std::optional<ConnectEnd> direct_end;
  std::optional<ThroughOther> other;
  // Waits for the result; null once it does not any more.
  std::shared_ptr<Channel> waiting;
};

TargetConnector::TargetConnector(
    asio::io_context& loop,
    const request::passthrough::EngineTable& engines,
    request::passthrough::TargetPaths& paths,
    TargetConnectorOptions options,
    TargetConnectorHooks hooks,
    base::Clock clock,
    base::RandomSource random,
    base::Metrics& metrics)
    : loop_(loop),
      engines_(engines),
      paths_(paths),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      clock_(std::move(clock)),
      random_(random),
      metrics_(metrics),
      choice_(options_.choice, std::move(random)) {}

connection::event::ChannelPoolHooks TargetConnector::PoolHooks() {
  return {
      .open =
          [this](std::shared_ptr<Channel> channel) {
            return Open(std::move(channel));
          },
      .is_trusted = [this](const Channel& it) { return IsTrusted(it); },
      .on_unacknowledged = [this](const Channel& it) { OnUnacknowledged(it); }};
}

Awaitable<connection::event::ConnectEnd> TargetConnector::Open(
    std::shared_ptr<Channel> channel) {
  const EngineHandle target = TargetAt(channel->endpoint);
  if (!target) {
    const std::shared_ptr<Socket> socket(channel, &channel->socket);
    co_return co_await Connect(loop_, socket, channel->endpoint,
                               options_.connect_timeout);
  }
  switch (paths_.Use(target->entry, clock_())) {
    case TargetPath::kOwn:
      co_return co_await OpenByRace(std::move(channel), target);
    case TargetPath::kThroughOthers:
      co_return co_await OpenThroughOther(std::move(channel), target);
    case TargetPath::kNone:
      break;
  }
  metrics_.GetCounter("lynxglade_connections_not_tried_total").Add();
  co_return ConnectEnd::kNoAnswer;
}

Awaitable<connection::event::ConnectEnd> TargetConnector::OpenByRace(
    std::shared_ptr<Channel> channel,
    EngineHandle target) {
  const auto race = std::make_shared<Race>(loop_, target, clock_());
  race->waiting = channel;
  Spawn(loop_, "connection", ConnectDirectly(race), [this, race] {
    race->direct_end = race->direct_end.value_or(ConnectEnd::kNoAnswer);
    Conclude(*race);
  });
  bool asked = false;
  channel->opening.expires_after(options_.head_start);
  while (!race->decided() && !channel->abandoned) {
    ErrorCode ec;
    co_await channel->opening.async_wait(Into(ec));
    const bool direct_failed =
        race->direct_end && race->direct_end != ConnectEnd::kConnected;
    if (!asked && !channel->abandoned && (!ec || direct_failed)) {
      asked = true;
      Spawn(loop_, "connection_through_other", ConnectThroughOther(race),
            [this, race] {
              race->other = std::move(race->other).value_or(ThroughOther());
              Conclude(*race);
            });
    }
    channel->opening.expires_at(asio::steady_timer::time_point::max());
  }
  race->waiting.reset();
  if (channel->abandoned) {
    co_return ConnectEnd::kNoAnswer;
  }
  if (race->direct_end == ConnectEnd::kConnected) {
    channel->socket = std::move(*race->direct);
    co_return ConnectEnd::kConnected;
  }
  if (race->other && race->other->end == OthersEnd::kReached) {
    channel->socket = std::move(*race->other->socket);
    channel->via = race->other->via;
    co_return ConnectEnd::kConnected;
  }
  co_return *race->direct_end;
}

Awaitable<connection::event::ConnectEnd> TargetConnector::OpenThroughOther(
    std::shared_ptr<Channel> channel,
    EngineHandle target) {
  const base::Time began = clock_();
  ThroughOther other = co_await AskOthers(target, options_.connect_timeout,
                                          options_.min_unreached);
  if (other.end == OthersEnd::kReached && !channel->abandoned) {
    channel->socket = std::move(*other.socket);
    channel->via = other.via;
    co_return ConnectEnd::kConnected;
  }
  if (other.end == OthersEnd::kRefused || other.end == OthersEnd::kSilent) {
    RecordFailure(target, other.end, began);
  }
  co_return other.end == OthersEnd::kRefused ? ConnectEnd::kRefused
                                             : ConnectEnd::kNoAnswer;
}

Awaitable<connection::event::ConnectEnd> TargetConnector::ConnectTo(
    EngineHandle target,
    std::shared_ptr<Socket> socket,
    base::Duration timeout) {
  const auto endpoint = EndpointOf(*target);
  if (!endpoint) {
    co_return ConnectEnd::kNoAnswer;
  }
  co_return co_await Connect(loop_, std::move(socket), *endpoint, timeout);
}

Awaitable<void> TargetConnector::ConnectDirectly(std::shared_ptr<Race> race) {
  race->direct_end =
      co_await ConnectTo(race->target, race->direct, options_.connect_timeout);
  if (race->direct_end == ConnectEnd::kConnected) {
    paths_.OnOwnConnection(race->target->entry);
  }
}

Awaitable<void> TargetConnector::ConnectThroughOther(
    std::shared_ptr<Race> race) {
  const base::Duration left = race->began + options_.connect_timeout - clock_();
  ThroughOther other =
      co_await AskOthers(race->target, left, options_.min_unreached);
  race->other = std::move(other);
}

void TargetConnector::Conclude(const Race& race) {
  if (race.waiting) {
    race.waiting->opening.cancel();
  }
  if (race.direct_end && race.direct_end != ConnectEnd::kConnected &&
      race.other) {
    RecordFailure(race.target, race.other->end, race.began);
  }
}

void TargetConnector::RecordFailure(const EngineHandle& target,
                                    OthersEnd others,
                                    base::Time began) {
  if (others == OthersEnd::kUnknown) {
    return;
  }
  const base::Time now = clock_();
  const bool reached = others == OthersEnd::kReached;
  const TargetPath before = paths_.PathTo(target->entry, now);
  paths_.OnOwnFailure(target->entry, reached, began, now);
  const TargetPath after = paths_.PathTo(target->entry, now);
  LogPath(*target, before, after, now - began);
  if (reached && hooks_.on_cut) {
    hooks_.on_cut(*target);
  }
  StartProbes();
}

void TargetConnector::LogPath(const request::passthrough::Engine& target,
                              TargetPath before,
                              TargetPath after,
                              base::Duration took) {
  if (after == before) {
    return;
  }
  base::Log(base::LogLevel::kInfo, "target_path",
            {{"target", target.entry.id.str()},
             {"service", target.entry.service.str()},
             {"zone", target.entry.zone.str()},
             {"path", ToString(after)},
             {"before", ToString(before)},
             {"ms", base::ToMillis(took)}});
}

Awaitable<TargetConnector::ThroughOther> TargetConnector::AskOthers(
    EngineHandle target,
    base::Duration timeout,
    std::size_t min_unreached) {
  const base::Time until = clock_() + timeout;
  const TargetGroup group = GroupOf(target->entry);
  ThroughOther result;
  std::vector<base::InstanceId> tried;
  std::size_t unreached = 0;
  bool no_own_way = choice_.IsCutOff(group, clock_());
  bool none_left = false;
  std::size_t told_unreached = 0;
  while (IsSendable(target->entry.id) && tried.size() < options_.max_asked &&
         unreached < min_unreached && clock_() < until) {
    const auto peer = choice_.Choose(hooks_.peers(), group, tried, clock_());
    if (!peer) {
      none_left = true;
      break;
    }
    tried.push_back(peer->instance);
    const auto socket = std::make_shared<Socket>(loop_);
    const Tcp::endpoint endpoint(peer->endpoint.address(),
                                 peer->endpoint.port());
    const TunnelReply reply = co_await OpenTunnel(
        loop_, socket, endpoint, target->entry.id.str(), until - clock_());
    choice_.OnReply(peer->instance, group, reply, clock_());
    no_own_way = no_own_way || reply == TunnelReply::kNoOwnWay;
    told_unreached += reply == TunnelReply::kTargetUnreached ? 1 : 0;
    metrics_
        .GetCounter("lynxglade_tunnels_asked_total",
                    {{"reply", std::string(ToString(reply))}})
        .Add();
    if (reply == TunnelReply::kOpened) {
      result.end = OthersEnd::kReached;
      result.socket = socket;
      result.via = peer->instance;
      co_return result;
    }
    if (reply == TunnelReply::kTargetRefused) {
      ++unreached;
      result.end = OthersEnd::kRefused;
    } else if (reply == TunnelReply::kTargetSilent) {
      ++unreached;
      result.end = std::min(result.end, OthersEnd::kSilent);
    }
  }
  // Instances that are cut off say this of each target, so that it decides only
  // if none says otherwise.
  const bool none_reaches = told_unreached >= options_.min_unreached ||
                            (none_left && (no_own_way || told_unreached > 0));
  if (result.end == OthersEnd::kUnknown && none_reaches) {
    result.end = OthersEnd::kSilent;
  }
  co_return result;
}

void TargetConnector::Check(const EngineHandle& target) {
  if (checking_.size() < options_.max_probes &&
      checking_.insert(target->entry.id).second) {
    Spawn(loop_, "path_check", RunCheck(target),
          [this, target] { checking_.erase(target->entry.id); });
  }
}

Awaitable<void> TargetConnector::RunCheck(EngineHandle target) {
  const base::Time began = clock_();
  const TargetPath before = paths_.PathTo(target->entry, began);
  const auto socket = std::make_shared<Socket>(loop_);
  const ConnectEnd own =
      co_await ConnectTo(target, socket, options_.check_timeout);
  if (own == ConnectEnd::kConnected) {
    paths_.OnOwnConnection(target->entry);
    LogPath(*target, before, TargetPath::kOwn, clock_() - began);
  } else if (before == TargetPath::kThroughOthers) {
    // Requests show whether the others still reach it.
    RecordFailure(target, OthersEnd::kReached, began);
  } else {
    const ThroughOther other = co_await AskOthers(
        target, options_.connect_timeout, options_.min_unreached);
    RecordFailure(target, other.end, began);
  }
}

void TargetConnector::StartProbes() {
  if (!std::exchange(probing_, true)) {
    Spawn(loop_, "path_probes", RunProbes(), [this] { probing_ = false; });
  }
}

Awaitable<void> TargetConnector::RunProbes() {
  while (!paths_.empty()) {
    co_await SleepFor(loop_, options_.probe_period);
    for (const base::TargetId& id : paths_.TakeProbes(clock_())) {
      if (const EngineHandle target = engines_.Find(id)) {
        Check(target);
      }
    }
  }
}

bool TargetConnector::IsTrusted(const Channel& channel) const {
  const bool direct = channel.via.str().empty();
  if (direct && paths_.empty()) {
    return true;
  }
  const EngineHandle target = TargetAt(channel.endpoint);
  if (!target) {
    return direct;
  }
  const base::Time now = clock_();
  if (direct) {
    const auto cut_since = paths_.CutSince(target->entry, now);
    return !cut_since || channel.idle_since > *cut_since;
  }
  // Not after the cut, and not through an instance that is about to stop.
  return paths_.PathTo(target->entry, now) == TargetPath::kThroughOthers &&
         std::ranges::find(hooks_.peers(), channel.via,
                           &InstancePeer::instance) != hooks_.peers().end();
}

void TargetConnector::OnUnacknowledged(const Channel& channel) {
  const EngineHandle target = TargetAt(channel.endpoint);
  if (target && channel.via.str().empty() &&
      paths_.PathTo(target->entry, clock_()) == TargetPath::kOwn) {
    Check(target);
  }
}

TargetConnector::EngineHandle TargetConnector::TargetAt(
    const Tcp::endpoint& endpoint) const {
  return engines_.FindByAddress(endpoint.address().to_string(),
                                endpoint.port());
}

}  // namespace lynxglade::process::peers
