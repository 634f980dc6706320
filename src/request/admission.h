// Admission control: a fair queue per service, in which the request threads
// block until their request may run.
#ifndef LYNXGLADE_REQUEST_ADMISSION_H_
#define LYNXGLADE_REQUEST_ADMISSION_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "request/cost.h"
#include "request/fair_queue.h"
#include "request/request.h"
#include "request/target_index.h"
#include "version/configuration.h"

namespace lynxglade::request {

class Admission;

// Permission to run one request. The destructor returns the capacity.
class Ticket {
 public:
  Ticket(Ticket&& other) noexcept;
  Ticket& operator=(Ticket&& other) noexcept;
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;
  ~Ticket();

  // Sets the request's real cost, which is charged to its contract instead of
  // the estimate.
  void SetActual(const Cost& actual) noexcept { actual_ = actual; }

 private:
  friend class Admission;
  struct ServiceQueue;
  Ticket(Admission* admission,
         ServiceQueue* service_queue,
         EntryId id) noexcept;
  void Release() noexcept;

  Admission* admission_;
  ServiceQueue* service_queue_;
  EntryId id_;
  std::optional<Cost> actual_;
};

// Capacity assumed per target of a service.
struct CapacityOptions {
  int requests_per_engine = 16;
  int requests_per_plain_target = 64;
  // Assumed for engines that have not reported rates.
  Rates engine_rates{2000, 500};
};

// Total capacity of the service's serving targets, divided by the number of
// entry instances that share them (at least 1).
Capacity CapacityOf(const TargetIndex& index,
                    const base::ServiceName& service,
                    std::size_t entry_instances,
                    const CapacityOptions& options);

// The contracts' shares of a service, from their intents.
std::map<base::ContractId, double> SharesOf(
    const version::Configuration& configuration,
    const base::ServiceName& service);

// Thread-safe. Must outlive its tickets and all calls of Admit.
class Admission {
 public:
  Admission(FairQueueOptions options, base::Clock clock);
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // Call when targets or the configuration change. The first call for a service
  // creates its queue.
  void SetCapacity(const base::ServiceName& service, const Capacity& capacity);
  void SetShares(const base::ServiceName& service,
                 std::map<base::ContractId, double> shares);

  // Blocks until the request may run. On nullopt `*refusal` is set, with
  // outcome not-run. `caller_gone`, if given, is polled a few times a second
  // while waiting, without a lock held.
  std::optional<Ticket> Admit(const Request& request,
                              const Cost& cost,
                              Refusal* refusal,
                              const std::function<bool()>& caller_gone = {});

  // Refuses new requests from now on. Waiting requests are still served.
  void Stop() noexcept;

  std::size_t waiting() const;
  int running() const;

 private:
  friend class Ticket;
  using ServiceQueue = Ticket::ServiceQueue;

  ServiceQueue* FindQueue(const base::ServiceName& service, bool create);
  // DispatchReady and Notify must be called with the queue's lock held.
  void DispatchReady(ServiceQueue& service_queue);
  static void Notify(ServiceQueue& service_queue,
                     const std::vector<DroppedRequest>& dropped);
  void Complete(ServiceQueue& service_queue,
                EntryId id,
                const std::optional<Cost>& actual);

  const FairQueueOptions options_;
  const base::Clock clock_;
  std::atomic<bool> stopped_{false};
  mutable std::mutex queues_mutex_;
  std::map<base::ServiceName, std::unique_ptr<ServiceQueue>> queues_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_ADMISSION_H_
