// Temporarily removes failing targets from routing.
//
// A target is ejected after consecutive failures or at a high failure rate. The
// ejection time doubles with each ejection, up to a limit. Only a fraction of a
// service's serving targets is ejected at a time, and never the last one that
// serves a given service, model, version and role.
#ifndef LYNXGLADE_REQUEST_OUTLIER_EJECTOR_H_
#define LYNXGLADE_REQUEST_OUTLIER_EJECTOR_H_

#include <cstddef>
#include <mutex>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "request/target.h"

namespace lynxglade::request {

// Why a target that failed was not ejected.
enum class EjectDenial {
  kNotFailingEnough,
  kAlreadyEjected,
  kFractionReached,
  kLastOfService,
  kUnknownTarget,
};
std::string_view ToString(EjectDenial denial) noexcept;

struct OutlierEjectorOptions {
  int consecutive_failures = 5;
  // Ratio of failures to requests within `window` from which a target is
  // ejected, if it had at least `min_requests` requests.
  double failure_rate = 0.5;
  int min_requests = 20;
  base::Duration window = std::chrono::seconds(10);
  base::Duration base_ejection = std::chrono::seconds(5);
  base::Duration max_ejection = std::chrono::minutes(5);
  // Time since the last ejection after which the ejection time starts again at
  // base_ejection.
  base::Duration reset_after = std::chrono::minutes(10);
  // Fraction of a service's serving targets that may be ejected. At least one
  // may be if two or more serve.
  double max_fraction = 0.34;
};

struct Ejection {
  base::TargetId target;
  base::Duration length{};
};

// Thread-safe. Writes LocalLoad::ejected_until, which the router reads.
class OutlierEjector {
 public:
  explicit OutlierEjector(OutlierEjectorOptions options = {});
  OutlierEjector(const OutlierEjector&) = delete;
  OutlierEjector& operator=(const OutlierEjector&) = delete;

  // An attempt at the target succeeded.
  void OnSuccess(const Target& target, base::Time now);
  // An attempt failed because of the target: refused connection, reset,
  // malformed answer or 5xx, but not a refusal because it is draining or
  // overloaded. Returns the ejection if the target was ejected now; otherwise
  // `*denial` says why it was not.
  std::optional<Ejection> OnFailure(const TargetTable& table,
                                    const Target& target,
                                    base::Time now,
                                    EjectDenial* denial);
  // Call with each new table. Ends ejections that would violate the limits with
  // the new table, and removes the records of targets that are not in it.
  void Reconcile(const TargetTable& table, base::Time now);

  static bool IsEjected(const Target& target, base::Time now) noexcept;

 private:
  struct Record {
    int failure_streak = 0;
    int requests = 0;
    int failures = 0;
    base::Time window_start{};
    int ejections = 0;
    base::Time last_ejection{};
  };

  Record& FindOrCreateRecord(const Target& target, base::Time now);
  bool IsFailing(const Record& record) const noexcept;
  std::optional<EjectDenial> CheckEjectable(const TargetTable& table,
                                            const Target& target,
                                            base::Time now) const;
  base::Duration NextEjectionTime(const Record& record) const noexcept;

  const OutlierEjectorOptions options_;
  std::mutex mutex_;
  std::unordered_map<base::TargetId, Record> records_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_OUTLIER_EJECTOR_H_
