// Borrows retry budget from other instances when this instance runs short, and
// lends its own. shared_retry_budget.h explains why the fleet's bound holds.
//
// A request goes to a few randomly chosen peers of those that exchange
// prefill reports (prefill_sharing.h). Nothing blocks on the response: without
// one an instance has its own share, and a late loan is ignored.
#ifndef LYNXGLADE_PROCESS_PEERS_RETRY_LOANS_H_
#define LYNXGLADE_PROCESS_PEERS_RETRY_LOANS_H_

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
#include "process/peers/instance_presence.h"
#include "process/peers/loan_messages.h"
#include "process/peers/peer_datagrams.h"
#include "request/passthrough/shared_retry_budget.h"

namespace lynxglade::process::peers {

struct RetryLoansOptions {
  // Peers that get one request, each for the whole missing amount.
  std::size_t max_peers = 2;
  // Minimum time between requests for a service: a few round trips. Doubled up
  // to `max_request_interval` after each request without a loan, to limit the
  // traffic while no instance has any to spare.
  base::Duration min_request_interval = std::chrono::milliseconds(20);
  base::Duration max_request_interval = std::chrono::milliseconds(160);
  // A loan that arrives later is ignored. It stays charged to the lender until
  // it expires.
  base::Duration request_timeout = std::chrono::milliseconds(1000);
};

struct RetryLoansHooks {
  // Peers that a request may be sent to.
  std::function<std::vector<InstancePeer>()> peers;
  // Number of instances that may be up, including this one.
  std::function<int()> instance_count;
  // Whether the current configuration contains the service.
  std::function<bool(const base::ServiceName& service)> is_served;
};

// Not thread-safe: runs on the event loop.
class RetryLoans {
 public:
  RetryLoans(request::passthrough::SharedRetryBudget& budget,
             PeerDatagrams& datagrams,
             RetryLoansHooks hooks,
             RetryLoansOptions options,
             base::Clock clock,
             base::RandomSource random,
             base::Metrics& metrics);
  RetryLoans(const RetryLoans&) = delete;
  RetryLoans& operator=(const RetryLoans&) = delete;

  // Starts to handle requests and loans from peers.
  void Start();
  // Requests `arrivals` from peers, unless the last request for the service is
  // too recent.
  void RequestLoan(const base::ServiceName& service, double arrivals);

 private:
  // The last request for a service.
  struct PendingRequest {
    LoanRequestId request_id;
    base::Time sent_at{};
    base::Duration interval{};
    // Peers that have not lent for this request yet.
    std::set<base::InstanceId> pending_lenders;
    bool answered = false;
  };

  std::vector<InstancePeer> ChoosePeers() const;
  bool HandleRequest(const InstancePeer& from, std::string_view body);
  bool HandleLoan(const InstancePeer& from, std::string_view body);
  void CountOutcome(const char* outcome);

  request::passthrough::SharedRetryBudget& budget_;
  PeerDatagrams& datagrams_;
  const RetryLoansHooks hooks_;
  const RetryLoansOptions options_;
  const base::Clock clock_;
  const base::RandomSource random_;
  base::Metrics& metrics_;
  std::map<base::ServiceName, PendingRequest> requests_;
};

}  // namespace lynxglade::process::peers

#endif  // LYNXGLADE_PROCESS_PEERS_RETRY_LOANS_H_
