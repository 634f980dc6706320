// Strong identifier types.
//
// Every identifier of the system is its own type, so that an engine's id
// cannot be handed to a function that wants an instance's.
#ifndef LYNXGLADE_BASE_IDS_H_
#define LYNXGLADE_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lynxglade::base {

// A string that only compares with ids of the same Tag. Any byte content is
// allowed; limits on length are enforced where ids enter the process.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string text) noexcept : text_(std::move(text)) {}

  const std::string& str() const noexcept { return text_; }
  bool empty() const noexcept { return text_.empty(); }

  auto operator<=>(const StrongId&) const = default;

 private:
  std::string text_;
};

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const StrongId<Tag>& id) {
  return out << id.str();
}

// One caller request, as named by the caller or made at the entry instance.
using RequestId = StrongId<struct RequestIdTag>;
// One try of a request at one target; unique over all instances.
using AttemptId = StrongId<struct AttemptIdTag>;
// The key under which a caller may repeat a request without a second run.
using IdempotencyKey = StrongId<struct IdempotencyKeyTag>;
// A customer's contract, the unit of fair sharing and of terms of service.
using ContractId = StrongId<struct ContractIdTag>;
// A service that targets belong to, such as "llm-restore".
using ServiceName = StrongId<struct ServiceNameTag>;
// A back end: a model engine or an instance of a plain service.
using TargetId = StrongId<struct TargetIdTag>;
using ZoneId = StrongId<struct ZoneIdTag>;
using RegionId = StrongId<struct RegionIdTag>;
// One running lynxgladed process; a restart under the same address is a new
// instance.
using InstanceId = StrongId<struct InstanceIdTag>;
using ModelName = StrongId<struct ModelNameTag>;
using ModelVersion = StrongId<struct ModelVersionTag>;
using OperatorId = StrongId<struct OperatorIdTag>;
using PlanId = StrongId<struct PlanIdTag>;

}  // namespace lynxglade::base

template <typename Tag>
struct std::hash<lynxglade::base::StrongId<Tag>> {
  std::size_t operator()(
      const lynxglade::base::StrongId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

#endif  // LYNXGLADE_BASE_IDS_H_
