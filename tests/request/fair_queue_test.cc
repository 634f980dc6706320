#include "request/fair_queue.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/admission.h"
#include "request/admission_model.h"

namespace lynxglade::request {
namespace {

constexpr base::Time kNow = base::Time() + std::chrono::hours(1);
// Prefill and decode tokens are equally expensive.
constexpr Rates kRates{1000, 1000};

QueueItem Item(const std::string& contract, std::int64_t tokens) {
  QueueItem item;
  item.contract = base::ContractId(contract);
  item.deadline = kNow + std::chrono::hours(1);
  item.cost.prefill = base::Tokens(tokens);
  return item;
}

// Runs one request to its end, from which the queue learns that one second of
// work takes `slots` seconds.
void LearnRunTime(FairQueue& queue, int slots) {
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  const auto id = queue.Enqueue(Item("teacher", 100), kNow, &refusal, &dropped);
  ASSERT_EQ(queue.Dequeue(kNow), id);
  queue.Complete(*id, Item("teacher", 100).cost,
                 kNow + std::chrono::milliseconds(100) * slots);
}

RC_GTEST_PROP(FairQueueTest, BackloggedContractsGetTheirSharesOfWork, ()) {
  const auto n = *rc::gen::inRange<std::size_t>(2, 6);
  FairQueue queue;
  queue.SetCapacity({*rc::gen::inRange(1, 5), kRates});
  std::map<base::ContractId, double> shares;
  std::vector<std::int64_t> sizes;
  std::vector<Priority> priorities;
  for (std::size_t i = 0; i < n; ++i) {
    shares[base::ContractId(std::to_string(i))] = *rc::gen::inRange(1, 10);
    // The estimate is 100 for all; the real cost differs by contract.
    sizes.push_back(*rc::gen::inRange(50, 200));
    priorities.push_back(Priority(*rc::gen::inRange(0, 10)));
  }
  queue.SetShares(shares);
  std::map<EntryId, std::size_t> owner;
  const auto offer = [&](std::size_t i) {
    Refusal refusal;
    std::vector<DroppedRequest> dropped;
    QueueItem item = Item(std::to_string(i), 100);
    item.priority = priorities[i];
    owner[*queue.Enqueue(item, kNow, &refusal, &dropped)] = i;
  };
  for (std::size_t i = 0; i < n; ++i) {
    offer(i);
    offer(i);
  }
  std::vector<double> work(n, 0);
  std::vector<EntryId> running;
  for (int step = 0; step < 4000; ++step) {
    while (const auto id = queue.Dequeue(kNow)) {
      running.push_back(*id);
      offer(owner[*id]);
    }
    const EntryId done = running.front();
    running.erase(running.begin());
    const std::size_t i = owner[done];
    work[i] += static_cast<double>(sizes[i]);
    queue.Complete(done, Cost{base::Tokens(sizes[i]), {}}, kNow);
  }
  // Work over share is equal except for the requests in flight.
  std::vector<double> normal;
  for (std::size_t i = 0; i < n; ++i) {
    normal.push_back(work[i] / shares[base::ContractId(std::to_string(i))]);
  }
  const auto [least, most] = std::ranges::minmax(normal);
  RC_ASSERT(most - least <= 200.0 * 6);
}

RC_GTEST_PROP(FairQueueTest, IsWorkConserving, ()) {
  AdmissionModelOptions options;
  options.run_for = std::chrono::seconds(20);
  options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000);
  options.concurrency = *rc::gen::inRange(1, 9);
  const auto n = *rc::gen::inRange(1, 5);
  for (int i = 0; i < n; ++i) {
    options.contracts.push_back({std::to_string(i),
                                 *rc::gen::inRange(1, 10) / 50.0,
                                 *rc::gen::inRange(1, 40) / 20.0});
  }
  const auto result = RunAdmissionModel(options);
  RC_ASSERT(result.idle_while_waiting == 0u);
  // Each request either ran or was refused with a reason.
  for (const auto& [name, it] : result.contracts) {
    std::size_t refused = 0;
    for (const auto& [reason, count] : it.refused) {
      refused += count;
    }
    RC_ASSERT(it.in_time + it.late + refused == it.offered);
  }
}

TEST(FairQueueTest, OverloadByOneContractLeavesOthersTheirGoodput) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    AdmissionModelOptions options;
    options.seed = seed;
    const ModelContract albums{"albums", 0.4, 0.38, 0.75, 2};
    const ModelContract nesting{"nesting", 0.3, 0.29, 0.25, 5};
    const ModelContract flood{"flood", 0.3, 3.0, 0.5, 1};
    std::map<std::string, double> alone;
    for (const ModelContract& it : {albums, nesting}) {
      options.contracts = {it};
      alone[it.name] = RunAdmissionModel(options).contracts[it.name].goodput;
    }
    options.contracts = {albums, nesting, flood};
    auto together = RunAdmissionModel(options).contracts;
    EXPECT_GE(together["albums"].goodput, 0.95 * alone["albums"]);
    EXPECT_GE(together["nesting"].goodput, 0.95 * alone["nesting"]);
    // The overloading contract gets its share and unused capacity.
    EXPECT_GE(together["flood"].work, 0.3 * 190);

    // Without shares the overload would harm the others.
    options.fair = false;
    together = RunAdmissionModel(options).contracts;
    EXPECT_LT(together["albums"].goodput, 0.5 * alone["albums"]);
  }
}

TEST(FairQueueTest, IdleContractAccumulatesNoCredit) {
  FairQueue queue;
  queue.SetCapacity({1, kRates});
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  std::map<EntryId, std::string> owner;
  const auto offer = [&](const std::string& contract) {
    owner[*queue.Enqueue(Item(contract, 100), kNow, &refusal, &dropped)] =
        contract;
  };
  const auto run_one = [&] {
    const EntryId id = *queue.Dequeue(kNow);
    queue.Complete(id, std::nullopt, kNow);
    return owner[id];
  };
  offer("b");
  for (int i = 0; i < 60; ++i) {
    offer("a");
  }
  // b runs once and is idle while a continues.
  int runs_of_b = 0;
  for (int i = 0; i < 40; ++i) {
    runs_of_b += run_one() == "b" ? 1 : 0;
  }
  ASSERT_EQ(runs_of_b, 1);
  for (int i = 0; i < 20; ++i) {
    offer("b");
  }
  for (int i = 0; i < 10; ++i) {
    runs_of_b += run_one() == "b" ? 1 : 0;
  }
  EXPECT_LE(runs_of_b, 1 + 6);
  EXPECT_GE(runs_of_b, 1 + 4);
}

TEST(FairQueueTest, MostUrgentPriorityGoesFirstWithinAContract) {
  FairQueue queue;
  queue.SetCapacity({1, kRates});
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  const auto first = queue.Enqueue(Item("a", 10), kNow, &refusal, &dropped);
  const auto late = queue.Enqueue(Item("a", 10), kNow, &refusal, &dropped);
  QueueItem urgent = Item("a", 10);
  urgent.priority = Priority(0);
  const auto next = queue.Enqueue(urgent, kNow, &refusal, &dropped);
  EXPECT_EQ(queue.Dequeue(kNow), next);
  EXPECT_EQ(queue.Dequeue(kNow), std::nullopt) << "concurrency is 1";
  queue.Complete(*next, std::nullopt, kNow);
  EXPECT_EQ(queue.Dequeue(kNow), first);
  queue.Complete(*first, std::nullopt, kNow);
  EXPECT_EQ(queue.Dequeue(kNow), late);
}

TEST(FairQueueTest, RefusesUnreachableDeadlinesWithRetryAfter) {
  FairQueue queue;
  queue.SetCapacity({1, kRates});
  LearnRunTime(queue, 1);
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(queue.Enqueue(Item("a", 1000), kNow, &refusal, &dropped));
  }
  queue.Dequeue(kNow);
  // Four seconds of work wait, and one is running.
  QueueItem item = Item("a", 1000);
  item.deadline = kNow + std::chrono::seconds(3);
  EXPECT_FALSE(queue.Enqueue(item, kNow, &refusal, &dropped));
  EXPECT_EQ(refusal.reason, RefusalReason::kDeadlineHopeless);
  EXPECT_EQ(refusal.outcome, base::Outcome::kNotRun);
  ASSERT_TRUE(refusal.retry_after);
  EXPECT_GE(*refusal.retry_after, std::chrono::seconds(2));
  EXPECT_LE(*refusal.retry_after, std::chrono::seconds(4));
  // Another contract does not wait behind the first one's backlog.
  item.contract = base::ContractId("b");
  EXPECT_TRUE(queue.Enqueue(item, kNow, &refusal, &dropped));
  item.deadline = kNow;
  EXPECT_FALSE(queue.Enqueue(item, kNow, &refusal, &dropped));
  EXPECT_EQ(refusal.reason, RefusalReason::kDeadlinePassed);
  EXPECT_TRUE(dropped.empty());
}

TEST(FairQueueTest, ShedsLowestWorthToMeetDeadlineOfHigherWorth) {
  FairQueue queue;
  queue.SetCapacity({1, kRates});
  LearnRunTime(queue, 1);
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  std::vector<EntryId> ids;
  for (const double worth : {5.0, 1.0, 3.0, 2.0, 4.0}) {
    QueueItem item = Item("a", 1000);
    item.worth = base::Worth(worth);
    ids.push_back(*queue.Enqueue(item, kNow, &refusal, &dropped));
  }
  // Five seconds of work wait; the deadline allows three and the item itself.
  QueueItem item = Item("a", 1000);
  item.worth = base::Worth(10);
  item.deadline = kNow + std::chrono::milliseconds(4100);
  ASSERT_TRUE(queue.Enqueue(item, kNow, &refusal, &dropped));
  ASSERT_EQ(dropped.size(), 2u);
  EXPECT_EQ(dropped[0].id, ids[1]);
  EXPECT_EQ(dropped[1].id, ids[3]);
  EXPECT_EQ(dropped[0].refusal.reason, RefusalReason::kShed);
  EXPECT_EQ(dropped[0].refusal.outcome, base::Outcome::kNotRun);
  // A request of worth 3 is not dropped for one of worth 2.
  dropped.clear();
  item.worth = base::Worth(2);
  item.deadline = kNow + std::chrono::milliseconds(2100);
  EXPECT_FALSE(queue.Enqueue(item, kNow, &refusal, &dropped));
  EXPECT_TRUE(dropped.empty());
}

TEST(FairQueueTest, FullQueueDropsFromContractFurthestOverItsShare) {
  FairQueueOptions options;
  options.max_waiting = 3;
  FairQueue queue(options);
  queue.SetCapacity({1, kRates});
  queue.SetShares({{base::ContractId("a"), 0.5}, {base::ContractId("b"), 0.5}});
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  std::vector<EntryId> ids;
  for (const double worth : {9.0, 7.0, 8.0}) {
    QueueItem item = Item("a", 100);
    item.worth = base::Worth(worth);
    ids.push_back(*queue.Enqueue(item, kNow, &refusal, &dropped));
  }
  EXPECT_TRUE(queue.Enqueue(Item("b", 100), kNow, &refusal, &dropped));
  ASSERT_EQ(dropped.size(), 1u);
  EXPECT_EQ(dropped[0].id, ids[1]);
  EXPECT_FALSE(queue.Enqueue(Item("a", 100), kNow, &refusal, &dropped));
  EXPECT_EQ(refusal.reason, RefusalReason::kQueueFull);
  EXPECT_EQ(queue.waiting(), 3u);
}

TEST(FairQueueTest, DropsWaitingRequestsThatCannotMeetTheirDeadline) {
  FairQueue queue;
  queue.SetCapacity({1, kRates});
  LearnRunTime(queue, 1);
  Refusal refusal;
  std::vector<DroppedRequest> dropped;
  queue.Enqueue(Item("a", 1000), kNow, &refusal, &dropped);
  queue.Dequeue(kNow);
  QueueItem item = Item("b", 1000);
  item.deadline = kNow + std::chrono::seconds(5);
  const auto id = queue.Enqueue(item, kNow, &refusal, &dropped);
  const auto expiry = queue.ExpiryOf(*id);
  // The request needs a second of run time before its deadline.
  EXPECT_EQ(expiry, kNow + std::chrono::seconds(4));
  queue.Expire(*expiry - std::chrono::milliseconds(1), &dropped);
  EXPECT_TRUE(dropped.empty());
  queue.Expire(*expiry, &dropped);
  ASSERT_EQ(dropped.size(), 1u);
  EXPECT_EQ(dropped[0].refusal.reason, RefusalReason::kQueueTimeout);
  EXPECT_EQ(queue.waiting(), 0u);
}

Request MakeRequest(const std::string& contract) {
  Request request;
  request.contract = base::ContractId(contract);
  request.service = base::ServiceName("llm");
  request.deadline = kNow + std::chrono::hours(1);
  return request;
}

TEST(AdmissionTest, ConcurrentThreadsStayWithinCapacityAndReleaseIt) {
  Admission admission({}, [] { return kNow; });
  admission.SetCapacity(base::ServiceName("llm"), {3, kRates});
  std::atomic<int> inside{0};
  std::atomic<int> most{0};
  std::atomic<int> admitted{0};
  std::vector<std::jthread> threads;
  for (int n = 0; n < 12; ++n) {
    threads.emplace_back([&, n] {
      for (int i = 0; i < 50; ++i) {
        Refusal refusal;
        auto ticket =
            admission.Admit(MakeRequest(std::to_string(n % 4)),
                            {base::Tokens(10), base::Tokens(1)}, &refusal);
        if (!ticket) {
          continue;
        }
        const int now_inside = ++inside;
        int seen = most;
        while (seen < now_inside &&
               !most.compare_exchange_weak(seen, now_inside)) {
        }
        ++admitted;
        std::this_thread::yield();
        ticket->SetActual({base::Tokens(10), base::Tokens(2)});
        --inside;
      }
    });
  }
  threads.clear();
  EXPECT_EQ(admitted, 600);
  EXPECT_LE(most, 3);
  EXPECT_EQ(admission.running(), 0);
  EXPECT_EQ(admission.waiting(), 0u);
}

TEST(AdmissionTest, RefusesUnknownServiceGoneCallerAndNewRequestsOnStop) {
  Admission admission({}, [] { return kNow; });
  Refusal refusal;
  const Cost cost{base::Tokens(10), base::Tokens(1)};
  EXPECT_FALSE(admission.Admit(MakeRequest("a"), cost, &refusal));
  EXPECT_EQ(refusal.reason, RefusalReason::kNoTarget);
  admission.SetCapacity(base::ServiceName("llm"), {1, kRates});
  auto held = admission.Admit(MakeRequest("a"), cost, &refusal);
  ASSERT_TRUE(held);
  EXPECT_FALSE(
      admission.Admit(MakeRequest("a"), cost, &refusal, [] { return true; }));
  EXPECT_EQ(refusal.reason, RefusalReason::kCallerGone);
  EXPECT_EQ(admission.waiting(), 0u);

  // A request that waits when Stop is called is still admitted.
  std::atomic<bool> got{false};
  std::jthread waiter([&] {
    Refusal late;
    got = admission.Admit(MakeRequest("a"), cost, &late).has_value();
  });
  while (admission.waiting() == 0) {
    std::this_thread::yield();
  }
  admission.Stop();
  EXPECT_FALSE(admission.Admit(MakeRequest("a"), cost, &refusal));
  EXPECT_EQ(refusal.reason, RefusalReason::kStopping);
  EXPECT_EQ(refusal.outcome, base::Outcome::kNotRun);
  held.reset();
  waiter.join();
  EXPECT_TRUE(got);
}

}  // namespace
}  // namespace lynxglade::request
