#include "process/peers/retry_loans.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "process/peers/peer_fixture.h"

namespace lynxglade::process::peers {
namespace {

using request::passthrough::ArrivalPurpose;
using request::passthrough::SharedRetryBudget;
using std::chrono::milliseconds;

const base::ServiceName kService("llm");

// Two instances: one has no retry budget, the other ten arrivals. The clock
// advances only when a test moves it.
class RetryLoansTest : public PeerTest {
 protected:
  struct Instance : PeerParts {
    Instance(RetryLoansTest& test, const std::string& name, double share)
        : PeerParts(test, name),
          allowance({.ratio = 0,
                     .allowance = share,
                     .max_fraction = 1,
                     .max_retry_part = 1}),
          loans(
              allowance,
              datagrams,
              {.peers = [&test, name] { return test.Others(name); },
               .instance_count = [] { return 1; },
               .is_served =
                   [](const base::ServiceName& it) { return it == kService; }},
              {},
              [&test] { return test.now_; },
              base::SeededRandom(1),
              metrics) {}
    std::int64_t Counted(const std::string& outcome) {
      return PeerParts::Counted("lynxglade_retry_loans_total", outcome);
    }

    SharedRetryBudget allowance;
    RetryLoans loans;
  };

  void SetUp() override {
    StartPeers({&borrower_, &lender_});
    borrower_.loans.Start();
    lender_.loans.Start();
  }
  std::vector<InstancePeer> Others(const std::string& name) const {
    return {name == "poor" ? lender_.Peer() : borrower_.Peer()};
  }
  bool BorrowerCanReserve() {
    const auto held = borrower_.allowance.TryReserve(
        kService, 1, ArrivalPurpose::kRetry, 1, now_);
    if (held) {
      borrower_.allowance.Release(kService, *held, now_);
    }
    return held.has_value();
  }

  base::Time now_ = base::Time() + std::chrono::hours(1);
  Instance borrower_{*this, "poor", 0};
  Instance lender_{*this, "rich", 10};
};

TEST_F(RetryLoansTest, UnusedBudgetIsLent) {
  EXPECT_FALSE(BorrowerCanReserve());
  borrower_.loans.RequestLoan(kService, 1);
  store::RunUntil(loop_, [this] { return borrower_.Counted("borrowed") == 1; });
  EXPECT_TRUE(BorrowerCanReserve());
  EXPECT_EQ(lender_.Counted("lent"), 1);
}

TEST_F(RetryLoansTest, LateLoanIsIgnored) {
  borrower_.loans.RequestLoan(kService, 1);
  now_ += milliseconds(1001);
  store::RunUntil(loop_, [this] { return borrower_.Counted("late") == 1; });
  EXPECT_FALSE(BorrowerCanReserve());
}

TEST_F(RetryLoansTest, UnrequestedLoanIsIgnored) {
  lender_.datagrams.Send(borrower_.Peer(), DatagramKind::kLoan,
                         EncodeLoan({LoanRequestId(5), 3}));
  store::RunUntil(loop_, [this] { return borrower_.Counted("late") == 1; });
  EXPECT_FALSE(BorrowerCanReserve());
}

TEST_F(RetryLoansTest, UnknownServiceGetsNoLoan) {
  borrower_.loans.RequestLoan(base::ServiceName("other"), 1);
  store::RunUntil(loop_,
                  [this] { return lender_.Counted("other_service") == 1; });
  EXPECT_EQ(lender_.Counted("lent"), 0);
}

TEST_F(RetryLoansTest, BacksOffWhileNoLoanIsGranted) {
  ASSERT_TRUE(lender_.allowance.TryReserve(kService, 10, ArrivalPurpose::kRetry,
                                           1, now_));
  // Requests go out at 0, 20, 60, 140 and 300 ms, then every 160 ms.
  for (int ms = 0; ms <= 2300; ms += 10) {
    borrower_.loans.RequestLoan(kService, 1);
    now_ += milliseconds(10);
  }
  EXPECT_EQ(borrower_.Counted("asked"), 17);
  store::RunUntil(loop_,
                  [this] { return lender_.Counted("none_to_spare") == 17; });
}

}  // namespace
}  // namespace lynxglade::process::peers
