#include "process/retry_loans.h"

#include <algorithm>
#include <utility>

#include "base/log.h"

namespace lynxglade::process {

namespace {

using base::Log;
using base::LogLevel;

}  // namespace

RetryLoans::RetryLoans(request::passthrough::SharedRetryBudget& allowance,
                       PeerDatagrams& datagrams,
                       RetryLoansHooks hooks,
                       RetryLoansOptions options,
                       base::Clock clock,
                       base::RandomSource random,
                       base::Metrics& metrics)
    : allowance_(allowance),
      datagrams_(datagrams),
      hooks_(std::move(hooks)),
      options_(options),
      clock_(std::move(clock)),
      random_(std::move(random)),
      metrics_(metrics) {}

void RetryLoans::Start() {
  datagrams_.Handle(DatagramKind::kLoanRequest,
                    [this](const InstancePeer& from, std::string_view body) {
                      return TakeQuestion(from, body);
                    });
  datagrams_.Handle(DatagramKind::kLoan,
                    [this](const InstancePeer& from, std::string_view body) {
                      return TakeLoan(from, body);
                    });
}

void RetryLoans::RequestLoan(const base::ServiceName& service, double wanted) {
  const base::Time now = clock_();
  Question& last = questions_[service];
  if (last.asked_at != base::Time{} && now < last.asked_at + last.pause) {
    return;
  }
  const auto peers = Choose();
  const base::Duration longer =
      std::min(2 * last.pause, options_.max_request_interval);
  last.pause = last.answered ? options_.min_request_interval
                             : std::max(longer, options_.min_request_interval);
  last.answered = false;
  last.asked_at = now;
  // By chance, so that no loan for an earlier life of this process fits.
  last.number = LoanRequestId(random_());
  last.open.clear();
  const std::string question =
      EncodeLoanRequest({last.number, service, wanted});
  for (const InstancePeer& peer : peers) {
    last.open.insert(peer.instance);
    datagrams_.Send(peer, DatagramKind::kLoanRequest, question);
    Count("asked");
  }
}

std::vector<InstancePeer> RetryLoans::Choose() const {
  std::vector<InstancePeer> peers = hooks_.peers();
  const std::size_t n = std::min(options_.max_asked_peers, peers.size());
  for (std::size_t i = 0; i < n; ++i) {
    const auto other = i + base::UniformBelow(random_, peers.size() - i);
    std::swap(peers[i], peers[other]);
  }
  peers.resize(n);
  return peers;
}

bool RetryLoans::TakeQuestion(const InstancePeer& from, std::string_view body) {
  const auto question = DecodeLoanRequest(body);
  if (!question) {
    return false;
  }
  if (!hooks_.is_served(question->service)) {
    Count("other_service");
    return true;
  }
  const double lent = allowance_.Lend(question->service, question->wanted,
                                      hooks_.instances(), clock_());
  if (lent > 0) {
    datagrams_.Send(from, DatagramKind::kLoan,
                    EncodeLoan({question->number, lent}));
  }
  Count(lent > 0 ? "lent" : "none_to_spare");
  return true;
}

bool RetryLoans::TakeLoan(const InstancePeer& from, std::string_view body) {
  const auto loan = DecodeLoan(body);
  if (!loan) {
    return false;
  }
  const auto asked = std::ranges::find_if(questions_, [&loan](const auto& it) {
    return it.second.number == loan->number;
  });
  const bool fits =
      asked != questions_.end() &&
      clock_() <= asked->second.asked_at + options_.request_timeout &&
      asked->second.open.erase(from.instance) > 0;
  if (!fits) {
    Count("late");
    return true;
  }
  asked->second.answered = true;
  Log(LogLevel::kInfo, "retries_borrowed",
      {{"service", asked->first.str()},
       {"lender", from.instance.str()},
       {"arrivals", loan->arrivals},
       {"age_ms", base::ToMillis(clock_() - asked->second.asked_at)}});
  allowance_.Borrow(asked->first, loan->arrivals, asked->second.asked_at);
  Count("borrowed");
  return true;
}

void RetryLoans::Count(const char* outcome) {
  metrics_.GetCounter("lynxglade_retry_loans_total", {{"outcome", outcome}})
      .Add();
}

}  // namespace lynxglade::process
