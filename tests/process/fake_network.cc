#include "process/fake_network.h"

#include <algorithm>
#include <chrono>

namespace lynxglade::tests {

namespace {

constexpr base::Duration kTick = std::chrono::milliseconds(100);
constexpr base::Duration kInstanceListInterval = std::chrono::seconds(1);
constexpr base::Duration kConnectTimeout = std::chrono::seconds(3);
constexpr const char* kAddress = "10.0.0.1";

}  // namespace

using process::LinkId;

FakeNetwork::FakeNetwork(std::uint64_t seed)
    : random_(base::SeededRandom(seed)) {}

std::size_t FakeNetwork::Add(const std::string& id, const std::string& zone) {
  auto node = std::make_unique<Node>();
  node->id = id;
  node->zone = zone;
  node->port = next_port_++;
  nodes_.push_back(std::move(node));
  Start(nodes_.back().get(), nodes_.size() - 1);
  return nodes_.size() - 1;
}

std::size_t FakeNetwork::RestartAs(std::size_t old, const std::string& new_id) {
  Kill(old);
  nodes_[old]->listed = false;
  const std::size_t fresh = Add(new_id, nodes_[old]->zone);
  Node& node = *nodes_[fresh];
  node.port = nodes_[old]->port;
  Start(&node, fresh);
  return fresh;
}

void FakeNetwork::Start(Node* node, std::size_t index) {
  process::GossipOptions options;
  options.instance = base::InstanceId(node->id);
  options.fact = {base::ZoneId(node->zone), kAddress, node->port};
  process::GossipTransport transport;
  transport.dial = [this, index](const std::string&, int port) {
    return Dial(index, port);
  };
  transport.send = [this, index](LinkId link, std::string bytes,
                                 bool droppable) {
    Send(index, link, std::move(bytes), droppable);
  };
  transport.close = [this](LinkId link, const std::string&) { Close(link); };
  node->gossip = std::make_unique<process::Gossip>(
      options, transport, [this] { return now_; }, random_, node->metrics,
      [this, node](const process::ViewItem& item) {
        auto& newest = node->newest[{item.kind, item.key}];
        version_regressions_ += item.version < newest ? 1 : 0;
        newest = item.version;
        if (item.kind == process::ViewKind::kInstance &&
            process::StateOf(item.version) == process::MemberState::kSuspect) {
          suspicions_.emplace(item.key, item.version.sequence);
        }
      });
}

void FakeNetwork::Kill(std::size_t node) {
  nodes_[node]->alive = false;
  std::vector<LinkId> own;
  for (const auto& [id, end] : ends_) {
    if (end.node == node) {
      own.push_back(id);
    }
  }
  std::ranges::for_each(own, [&](LinkId id) { Close(id); });
}

void FakeNetwork::Pause(std::size_t node) {
  nodes_[node]->paused = true;
}

void FakeNetwork::Resume(std::size_t node) {
  nodes_[node]->paused = false;
}

void FakeNetwork::BlockTraffic(std::size_t from, std::size_t to) {
  blocked_.emplace(from, to);
}

void FakeNetwork::RestoreTraffic(std::size_t from, std::size_t to) {
  blocked_.erase({from, to});
}

void FakeNetwork::Run(base::Duration duration) {
  const base::Time end = now_ + duration;
  base::Time next_tick = now_;
  while (now_ < end) {
    next_tick += kTick;
    while (!events_.empty() && events_.begin()->first <= next_tick) {
      const Event event = events_.begin()->second;
      now_ = std::max(now_, events_.begin()->first);
      events_.erase(events_.begin());
      Node& node = *nodes_[event.node];
      if (node.paused) {
        Schedule(event.node, kTick, event.run);
      } else if (node.alive) {
        event.run();
      }
    }
    now_ = next_tick;
    const bool fetch_rows = now_ >= next_rows_;
    const auto rows = fetch_rows ? Rows() : std::vector<process::InstanceRow>();
    next_rows_ = fetch_rows ? now_ + kInstanceListInterval : next_rows_;
    for (const auto& node : nodes_) {
      if (node->alive && !node->paused) {
        if (fetch_rows) {
          node->gossip->SetRows(rows);
        }
        node->gossip->Tick();
      }
    }
  }
}

process::MemberState FakeNetwork::StateSeenBy(std::size_t node,
                                              const std::string& id) {
  const auto members = nodes_[node]->gossip->membership().Members();
  const auto it =
      std::ranges::find(members, base::InstanceId(id), &process::Member::id);
  return it == members.end() ? process::MemberState::kGone : it->state;
}

std::string FakeNetwork::Contents(std::size_t node) const {
  std::string out;
  for (const auto kind :
       {process::ViewKind::kInstance, process::ViewKind::kTarget,
        process::ViewKind::kQuarantine, process::ViewKind::kConfigHead,
        process::ViewKind::kConfigDelta}) {
    for (const auto& item : nodes_[node]->gossip->store().Snapshot(kind)) {
      out += item.key + "@" + std::to_string(item.version.epoch) + "." +
             std::to_string(item.version.sequence) + "=" + item.body + "\n";
    }
  }
  return out;
}

std::uint64_t FakeNetwork::BytesSent(std::size_t node) const {
  return nodes_[node]->bytes_sent;
}

std::uint64_t FakeNetwork::MessagesSent(std::size_t node) const {
  return nodes_[node]->messages_sent;
}

LinkId FakeNetwork::Dial(std::size_t from, int port) {
  const LinkId link = next_link_++;
  dials_.push_back(now_);
  Schedule(from, RandomDelay(),
           [this, from, link, port] { Connect(from, link, port); });
  return link;
}

void FakeNetwork::Connect(std::size_t from, LinkId link, int port) {
  std::size_t to = nodes_.size();
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->port == port && nodes_[i]->alive) {
      to = i;
    }
  }
  const auto fail = [this, from, link] {
    nodes_[from]->gossip->OnLinkDown(link);
  };
  if (to == nodes_.size()) {
    fail();
    return;
  }
  if (nodes_[to]->paused || !Reaches(from, to) || !Reaches(to, from)) {
    Schedule(from, kConnectTimeout, fail);
    return;
  }
  const LinkId accepted = next_link_++;
  ends_[link] = {from, accepted};
  ends_[accepted] = {to, link};
  nodes_[from]->gossip->OnLinkUp(link, true, HelloOf(*nodes_[to]));
  if (ends_.contains(accepted)) {
    nodes_[to]->gossip->OnLinkUp(accepted, false, HelloOf(*nodes_[from]));
  }
}

void FakeNetwork::Send(std::size_t from,
                       LinkId link,
                       std::string bytes,
                       bool droppable) {
  const auto it = ends_.find(link);
  if (it == ends_.end()) {
    return;
  }
  nodes_[from]->bytes_sent += bytes.size();
  ++nodes_[from]->messages_sent;
  const LinkId peer_end = it->second.peer_end;
  const auto peer = ends_.find(peer_end);
  const bool lost = droppable && Chance(faults_.loss);
  if (peer == ends_.end() || lost || !Reaches(from, peer->second.node)) {
    return;
  }
  const int copies = Chance(faults_.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Schedule(peer->second.node, RandomDelay(),
             [this, peer_end, bytes] { Deliver(peer_end, bytes); });
  }
}

void FakeNetwork::Deliver(LinkId to, const std::string& bytes) {
  const auto it = ends_.find(to);
  if (it != ends_.end()) {
    nodes_[it->second.node]->gossip->OnMessage(to, bytes);
  }
}

void FakeNetwork::Close(LinkId link) {
  const auto it = ends_.find(link);
  if (it == ends_.end()) {
    return;
  }
  const End end = it->second;
  ends_.erase(it);
  const auto peer = ends_.find(end.peer_end);
  if (peer != ends_.end() && Reaches(end.node, peer->second.node)) {
    Schedule(peer->second.node, faults_.max_delay,
             [this, id = end.peer_end] { Break(id); });
  }
}

void FakeNetwork::Break(LinkId end) {
  const auto it = ends_.find(end);
  if (it != ends_.end()) {
    const std::size_t node = it->second.node;
    ends_.erase(it);
    nodes_[node]->gossip->OnLinkDown(end);
  }
}

bool FakeNetwork::Reaches(std::size_t from, std::size_t to) const {
  return !blocked_.contains({from, to});
}

process::HelloMessage FakeNetwork::HelloOf(const Node& node) const {
  return {process::kPeerProtocolVersion, base::InstanceId(node.id),
          base::ZoneId(node.zone), kAddress, node.port};
}

void FakeNetwork::Schedule(std::size_t node,
                           base::Duration delay,
                           std::function<void()> run) {
  events_.emplace(now_ + delay, Event{node, std::move(run)});
}

base::Duration FakeNetwork::RandomDelay() {
  const auto max = static_cast<std::uint64_t>(faults_.max_delay.count());
  return base::Duration(base::UniformBelow(random_, max) + 1);
}

bool FakeNetwork::Chance(double p) {
  return p > 0 && base::UniformReal(random_) < p;
}

std::vector<process::InstanceRow> FakeNetwork::Rows() const {
  std::vector<process::InstanceRow> rows;
  for (const auto& node : nodes_) {
    if (node->listed) {
      rows.push_back({base::InstanceId(node->id), base::ZoneId(node->zone),
                      kAddress, node->port, false});
    }
  }
  return rows;
}

}  // namespace lynxglade::tests
