#include "process/peers/quarantine_sharing.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <tuple>
#include <utility>

#include "connection/event/sleep.h"
#include "connection/event/tasks.h"

namespace lynxglade::process::peers {

namespace {

namespace asio = connection::event::asio;
using connection::event::Awaitable;
using request::ContentHash;
using request::QuarantineMark;

// Body of a request for marks: the version.
constexpr std::string_view kRequestBody = "\x01";

// Orders marks by how much the other instances need them.
auto Importance(const DecodedMark& it) {
  const auto newest =
      std::ranges::max_element(it.mark.evidence, {}, &request::Evidence::at);
  return std::tuple(
      it.mark.quarantined, it.mark.on_probation, it.mark.evidence.size(),
      newest == it.mark.evidence.end() ? base::Time() : newest->at);
}

void SortByImportance(std::vector<DecodedMark>& marks) {
  std::ranges::sort(marks, [](const DecodedMark& a, const DecodedMark& b) {
    return Importance(a) > Importance(b);
  });
}

bool IsVerdict(const DecodedMark& it) {
  return it.mark.quarantined;
}

}  // namespace

QuarantineSharing::QuarantineSharing(asio::io_context& loop,
                                     request::Quarantine& quarantine,
                                     const InstancePresence& presence,
                                     PeerDatagrams& datagrams,
                                     std::function<base::Duration()> view_age,
                                     QuarantineSharingOptions options,
                                     base::Clock clock,
                                     base::RandomSource random,
                                     base::Metrics& metrics)
    : loop_(loop),
      quarantine_(quarantine),
      presence_(presence),
      datagrams_(datagrams),
      view_age_(std::move(view_age)),
      options_(options),
      clock_(std::move(clock)),
      random_(std::move(random)),
      metrics_(metrics),
      saved_rounds_(options_.max_saved_rounds),
      refilled_at_(clock_()) {}

void QuarantineSharing::Start() {
  datagrams_.SetHandler(DatagramKind::kMarks, [this](const InstancePeer& from,
                                                     std::string_view bytes) {
    return HandleMarks(from, bytes);
  });
  datagrams_.SetHandler(
      DatagramKind::kMarksRequest,
      [this](const InstancePeer& from, std::string_view bytes) {
        return HandleRequest(from, bytes);
      });
}

void QuarantineSharing::OnPublish(const ViewItem& item) {
  auto row = request::DecodeMark(item);
  // While a mark is merged, only this instance's own claim on a rerun is news.
  const bool is_news =
      row && (!merging_ || row->mark.owner == presence_.instance());
  if (!is_news) {
    return;
  }
  pending_[row->content] = {std::move(row->mark), options_.repeats};
  Arm(options_.delay);
}

void QuarantineSharing::Merge(const ViewItem& item) {
  merging_ = true;
  quarantine_.Merge(item, clock_());
  merging_ = false;
}

void QuarantineSharing::Lift(ContentHash content) {
  merging_ = true;
  quarantine_.Lift(content, clock_());
  merging_ = false;
}

void QuarantineSharing::Tick() {
  const bool is_stale = view_age_() > options_.stale_view;
  if (view_was_stale_ && !is_stale && !OtherPeers().empty()) {
    RequestMarks();
    view_was_stale_ = false;
  }
  view_was_stale_ = view_was_stale_ || is_stale;
}

void QuarantineSharing::Arm(base::Duration delay) {
  if (!std::exchange(armed_, true)) {
    connection::event::Spawn(loop_, "quarantine_marks",
                             connection::event::SleepFor(loop_, delay), [this] {
                               armed_ = false;
                               Flush();
                             });
  }
}

void QuarantineSharing::Flush() {
  const auto peers = OtherPeers();
  if (peers.empty()) {
    pending_.clear();
    return;
  }
  std::vector<DecodedMark> marks = PendingMarks();
  const bool has_verdict = std::ranges::any_of(marks, IsVerdict);
  const base::Duration wait = TakeRound(has_verdict, peers.size());
  if (wait > base::Duration::zero()) {
    Arm(wait);
    return;
  }
  const std::size_t n =
      std::min(marks.size(), options_.messages_per_round * kMaxMarks);
  marks.erase(marks.begin() + static_cast<std::ptrdiff_t>(n), marks.end());
  for (const DecodedMark& it : marks) {
    --pending_.at(it.content).repeats_left;
  }
  Send(peers, std::move(marks));
  std::erase_if(pending_,
                [](const auto& it) { return it.second.repeats_left <= 0; });
  if (!pending_.empty()) {
    Arm(options_.repeat_interval);
  }
}

std::vector<DecodedMark> QuarantineSharing::PendingMarks() const {
  std::vector<DecodedMark> marks;
  std::ranges::transform(
      pending_, std::back_inserter(marks),
      [](const auto& it) { return DecodedMark{it.first, it.second.mark}; });
  SortByImportance(marks);
  return marks;
}

base::Duration QuarantineSharing::TakeRound(bool has_verdict,
                                            std::size_t peers) {
  using Seconds = std::chrono::duration<double>;
  const double per_second =
      options_.rounds_received_per_second / static_cast<double>(peers);
  const base::Time now = clock_();
  saved_rounds_ = std::min(
      options_.max_saved_rounds,
      saved_rounds_ + per_second * Seconds(now - refilled_at_).count());
  refilled_at_ = now;
  const double needed = has_verdict ? 1 : 2;
  if (saved_rounds_ < needed) {
    return std::chrono::ceil<std::chrono::milliseconds>(
        Seconds((needed - saved_rounds_) / per_second));
  }
  saved_rounds_ -= 1;
  return base::Duration::zero();
}

std::vector<InstancePeer> QuarantineSharing::OtherPeers() const {
  std::vector<InstancePeer> peers = presence_.Peers();
  std::erase_if(peers, [this](const InstancePeer& it) {
    return it.instance == presence_.instance();
  });
  return peers;
}

void QuarantineSharing::Send(const std::vector<InstancePeer>& peers,
                             std::vector<DecodedMark> marks) {
  const base::Time now = clock_();
  while (!marks.empty()) {
    auto n = static_cast<std::ptrdiff_t>(std::min(marks.size(), kMaxMarks));
    std::string bytes = EncodeMarks({marks.begin(), marks.begin() + n}, now);
    while (bytes.size() > kMaxMarksBytes && n > 1) {
      n /= 2;
      bytes = EncodeMarks({marks.begin(), marks.begin() + n}, now);
    }
    marks.erase(marks.begin(), marks.begin() + n);
    for (const InstancePeer& peer : peers) {
      datagrams_.Send(peer, DatagramKind::kMarks, bytes);
    }
  }
}

void QuarantineSharing::RequestMarks() {
  std::vector<InstancePeer> peers = OtherPeers();
  const std::size_t n = std::min(peers.size(), options_.peers_asked);
  for (std::size_t i = 0; i < n; ++i) {
    std::swap(peers[i],
              peers[i + base::UniformBelow(random_, peers.size() - i)]);
    datagrams_.Send(peers[i], DatagramKind::kMarksRequest, kRequestBody);
  }
  metrics_.GetCounter("lynxglade_quarantine_requests_total").Add();
}

bool QuarantineSharing::HandleMarks(const InstancePeer& from,
                                    std::string_view bytes) {
  const base::Time now = clock_();
  const auto marks = DecodeMarks(bytes, now);
  if (!marks) {
    return false;
  }
  for (const DecodedMark& it : *marks) {
    Merge(request::EncodeMark(it.content, it.mark, from.instance, now));
  }
  return true;
}

bool QuarantineSharing::HandleRequest(const InstancePeer& from,
                                      std::string_view bytes) {
  if (bytes != kRequestBody) {
    return false;
  }
  std::vector<DecodedMark> marks;
  for (const ViewItem& it : quarantine_.Export(clock_())) {
    if (auto mark = request::DecodeMark(it)) {
      marks.push_back(std::move(*mark));
    }
  }
  SortByImportance(marks);
  const std::size_t n =
      std::min(marks.size(), options_.messages_per_round * kMaxMarks);
  marks.erase(marks.begin() + static_cast<std::ptrdiff_t>(n), marks.end());
  Send({from}, std::move(marks));
  return true;
}

}  // namespace lynxglade::process::peers
