// Asks other instances for retries when this one has few left, and lends them
// this one's (retry_allowance says why that is safe).
//
// A question goes to a few instances chosen by chance, of those that share
// reports of reads; what comes back late counts for nothing. Nobody is waited
// for: without an answer an instance has its own share.
#ifndef LYNXGLADE_PROCESS_RETRY_LOANS_H_
#define LYNXGLADE_PROCESS_RETRY_LOANS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "base/metrics.h"
#include "base/random.h"
#include "base/time.h"
#include "process/instance_presence.h"
#include "process/loan_messages.h"
#include "process/peer_datagrams.h"
#include "request/passthrough/shared_retry_budget.h"

namespace lynxglade::process {

struct RetryLoansOptions {
  // Instances asked at once, each for all that is missing.
  std::size_t max_asked_peers = 2;
  // Between questions for a service: a few times the way to another instance
  // and back. Twice as long after each that brought nothing, up to the longest,
  // so that a fleet without any to spare does not ask itself busy.
  base::Duration min_request_interval = std::chrono::milliseconds(20);
  base::Duration max_request_interval = std::chrono::milliseconds(160);
  // A loan that comes later is left alone. Its lender does not get it back
  // before its life is over.
  base::Duration request_timeout = std::chrono::milliseconds(1000);
};

struct RetryLoansHooks {
  // Instances that may be asked.
  std::function<std::vector<InstancePeer>()> peers;
  // Instances that may be up, this one included.
  std::function<int()> instances;
  // Whether the configuration in force names the service.
  std::function<bool(const base::ServiceName& service)> is_served;
};

// Not thread-safe: lives on the event loop.
class RetryLoans {
 public:
  RetryLoans(request::passthrough::SharedRetryBudget& allowance,
             PeerDatagrams& datagrams,
             RetryLoansHooks hooks,
             RetryLoansOptions options,
             base::Clock clock,
             base::RandomSource random,
             base::Metrics& metrics);
  RetryLoans(const RetryLoans&) = delete;
  RetryLoans& operator=(const RetryLoans&) = delete;

  // Takes questions and loans from now on.
  void Start();
  // Asks for so many arrivals, unless it has just done so.
  void RequestLoan(const base::ServiceName& service, double wanted);

 private:
  // The last question for a service.
  struct PendingRequest {
    LoanRequestId request_id;
    base::Time sent_at{};
    base::Duration interval{};
    // Instances whose loan is still open.
    std::set<base::InstanceId> pending_lenders;
    bool answered = false;
  };

  std::vector<InstancePeer> ChoosePeers() const;
  bool HandleRequest(const InstancePeer& from, std::string_view body);
  bool HandleLoan(const InstancePeer& from, std::string_view body);
  void CountOutcome(const char* outcome);

  request::passthrough::SharedRetryBudget& allowance_;
  PeerDatagrams& datagrams_;
  const RetryLoansHooks hooks_;
  const RetryLoansOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  std::map<base::ServiceName, PendingRequest> requests_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_RETRY_LOANS_H_
