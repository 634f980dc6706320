// Takes failing targets out of routing for a while.
//
// A target is ejected after failures in a row or at a high failure rate, for
// a time that grows with each ejection and is bounded. No more than a fraction
// of a service's serving targets is out at once, and the last target of a
// service, or of a model and role within it, is never ejected.
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

// Why a failing target stays in service.
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
  // Failures over requests within a window, judged from `min_requests` on.
  double failure_rate = 0.5;
  int min_requests = 20;
  base::Duration window = std::chrono::seconds(10);
  base::Duration base_ejection = std::chrono::seconds(5);
  base::Duration max_ejection = std::chrono::minutes(5);
  // Quiet time after which the growth starts anew.
  base::Duration reset_after = std::chrono::minutes(10);
  // Of a service's serving targets; at least one may always be out where two
  // or more serve.
  double max_fraction = 0.34;
};

struct Ejection {
  base::TargetId target;
  base::Duration length{};
};

// Thread-safe; a short lock a call. Writes LocalLoad::ejected_until, which the
// router reads.
class OutlierEjector {
 public:
  explicit OutlierEjector(OutlierEjectorOptions options = {});
  OutlierEjector(const OutlierEjector&) = delete;
  OutlierEjector& operator=(const OutlierEjector&) = delete;

  // An attempt ended well at the target.
  void OnSuccess(const Target& target, base::Time now);
  // An attempt failed by the target's fault: refused connections, resets,
  // broken answers, 5xx. Not its own refusals of draining or overload.
  // Returns the ejection that this brought about; else `*denial` says why not.
  std::optional<Ejection> OnFailure(const TargetTable& table,
                                    const Target& target,
                                    base::Time now,
                                    EjectDenial* denial);
  // Call with each new table: lets targets back in where a service would be
  // emptied or the fraction exceeded, and forgets targets that are gone.
  void Reconcile(const TargetTable& table, base::Time now);

  static bool IsEjected(const Target& target, base::Time now) noexcept;

 private:
  struct Record {
    int in_a_row = 0;
    int requests = 0;
    int failures = 0;
    base::Time window_start{};
    int ejections = 0;
    base::Time last_ejection{};
  };

  Record& Touch(const Target& target, base::Time now);
  bool IsFailing(const Record& record) const noexcept;
  std::optional<EjectDenial> CheckRoom(const TargetTable& table,
                                       const Target& target,
                                       base::Time now) const;
  base::Duration NextLength(const Record& record) const noexcept;

  const OutlierEjectorOptions options_;
  std::mutex mutex_;
  std::unordered_map<base::TargetId, Record> records_;
};

}  // namespace lynxglade::request

#endif  // LYNXGLADE_REQUEST_OUTLIER_EJECTOR_H_
