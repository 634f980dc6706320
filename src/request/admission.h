// Admits requests to services: a fair queue per service, and threads that
// wait in it.
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

// The right to run one request. Gives it back when destroyed.
class Ticket {
 public:
  Ticket(Ticket&& other) noexcept;
  Ticket& operator=(Ticket&& other) noexcept;
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;
  ~Ticket();

  // What the request really cost; corrects its contract's account.
  void SetActual(const Cost& actual) noexcept { actual_ = actual; }

 private:
  friend class Admission;
  struct Line;
  Ticket(Admission* admission, Line* line, EntryId id) noexcept;
  void Release() noexcept;

  Admission* admission_;
  Line* line_;
  EntryId id_;
  std::optional<Cost> actual_;
};

// What a service's targets allow an entry instance to have under way.
struct CapacityOptions {
  int requests_per_engine = 16;
  int requests_per_plain_target = 64;
  // Used for engines that have not reported rates yet.
  Rates engine_rates{2000, 500};
};

// Capacity of a service's serving targets, divided by the entry instances
// that share them (at least 1).
Capacity CapacityOf(const TargetIndex& index,
                    const base::ServiceName& service,
                    std::size_t entry_instances,
                    const CapacityOptions& options);

// The contracts' shares of a service.
std::map<base::ContractId, double> SharesOf(
    const version::Configuration& configuration,
    const base::ServiceName& service);

// Thread-safe. Must outlive its tickets and the threads inside Admit.
class Admission {
 public:
  Admission(FairQueueOptions options, base::Clock clock);
  ~Admission();
  Admission(const Admission&) = delete;
  Admission& operator=(const Admission&) = delete;

  // Call when targets or the configuration change; a service not named before
  // is new.
  void SetCapacity(const base::ServiceName& service, const Capacity& capacity);
  void SetShares(const base::ServiceName& service,
                 std::map<base::ContractId, double> shares);

  // Waits until the request may run. nullopt: `*refusal`, outcome not-run.
  // `caller_gone`, where given, is asked a few times a second while waiting.
  std::optional<Ticket> Admit(const Request& request,
                              const Cost& cost,
                              Refusal* refusal,
                              const std::function<bool()>& caller_gone = {});

  // Refuses new requests from now on; those waiting still get their turn.
  void Stop() noexcept;

  std::size_t waiting() const;
  int running() const;

 private:
  friend class Ticket;
  using Line = Ticket::Line;

  Line* FindLine(const base::ServiceName& service, bool make);
  // Both need the line's lock.
  void Pump(Line& line);
  static void Notify(Line& line, const std::vector<DroppedRequest>& dropped);
  void Complete(Line& line, EntryId id, const std::optional<Cost>& actual);

  const FairQueueOptions options_;
  const base::Clock clock_;
  std::atomic<bool> stopped_{false};
  mutable std::mutex lines_mutex_;
  std::map<base::ServiceName, std::unique_ptr<Line>> lines_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_ADMISSION_H_
