#include "process/peers/retry_loans.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lynxglade::process::peers {

namespace {

using base::Log;
using base::LogLevel;

}  // namespace

RetryLoans::RetryLoans(request::passthrough::SharedRetryBudget& budget,
                       PeerDatagrams& datagrams,
                       RetryLoansHooks hooks,
                       RetryLoansOptions options,
                       base::Clock clock,
                       base::RandomSource random,
                       base::Metrics& metrics)
    : budget_(budget),
      datagrams_(datagrams),
      hooks_(std::move(hooks)),
      options_(options),
      clock_(std::move(clock)),
      random_(std::move(random)),
      metrics_(metrics) {}

void RetryLoans::Start() {
  datagrams_.SetHandler(
      DatagramKind::kLoanRequest,
      [this](const InstancePeer& from, std::string_view body) {
        return HandleRequest(from, body);
      });
  datagrams_.SetHandler(DatagramKind::kLoan, [this](const InstancePeer& from,
                                                    std::string_view body) {
    return HandleLoan(from, body);
  });
}

void RetryLoans::RequestLoan(const base::ServiceName& service,
                             double arrivals) {
  const base::Time now = clock_();
  PendingRequest& pending = requests_[service];
  if (pending.sent_at != base::Time{} &&
      now < pending.sent_at + pending.interval) {
    return;
  }
  const auto peers = ChoosePeers();
  const base::Duration doubled =
      std::min(2 * pending.interval, options_.max_request_interval);
  pending.interval = pending.answered
                         ? options_.min_request_interval
                         : std::max(doubled, options_.min_request_interval);
  pending.answered = false;
  pending.sent_at = now;
  // Random, so that a loan for a request from before a restart does not match.
  pending.request_id = LoanRequestId(random_());
  pending.pending_lenders.clear();
  const std::string request =
      EncodeLoanRequest({pending.request_id, service, arrivals});
  for (const InstancePeer& peer : peers) {
    pending.pending_lenders.insert(peer.instance);
    datagrams_.Send(peer, DatagramKind::kLoanRequest, request);
    CountOutcome("asked");
  }
}

std::vector<InstancePeer> RetryLoans::ChoosePeers() const {
  std::vector<InstancePeer> peers = hooks_.peers();
  const std::size_t n = std::min(options_.max_peers, peers.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto j = i + base::UniformBelow(random_, peers.size() - i);
    std::swap(peers[i], peers[j]);
  }
  peers.resize(n);
  return peers;
}

bool RetryLoans::HandleRequest(const InstancePeer& from,
                               std::string_view body) {
  const auto request = DecodeLoanRequest(body);
  if (!request) {
    return false;
  }
  if (!hooks_.is_served(request->service)) {
    CountOutcome("other_service");
    return true;
  }
  const double granted = budget_.Lend(request->service, request->arrivals,
                                      hooks_.instance_count(), clock_());
  if (granted > 0) {
    datagrams_.Send(from, DatagramKind::kLoan,
                    EncodeLoan({request->request_id, granted}));
  }
  CountOutcome(granted > 0 ? "lent" : "none_to_spare");
  return true;
}

bool RetryLoans::HandleLoan(const InstancePeer& from, std::string_view body) {
  const auto loan = DecodeLoan(body);
  if (!loan) {
    return false;
  }
  const auto pending = std::ranges::find_if(requests_, [&loan](const auto& it) {
    return it.second.request_id == loan->request_id;
  });
  const bool is_expected =
      pending != requests_.end() &&
      clock_() <= pending->second.sent_at + options_.request_timeout &&
      pending->second.pending_lenders.erase(from.instance) > 0;
  if (!is_expected) {
    CountOutcome("late");
    return true;
  }
  pending->second.answered = true;
  Log(LogLevel::kInfo, "retries_borrowed",
      {{"service", pending->first.str()},
       {"lender", from.instance.str()},
       {"arrivals", loan->arrivals},
       {"age_ms", base::ToMillis(clock_() - pending->second.sent_at)}});
  budget_.Borrow(pending->first, loan->arrivals, pending->second.sent_at);
  CountOutcome("borrowed");
  return true;
}

void RetryLoans::CountOutcome(const char* outcome) {
  metrics_.GetCounter("lynxglade_retry_loans_total", {{"outcome", outcome}})
      .Add();
}

}  // namespace lynxglade::process::peers
