// Strong numeric types: counts, revisions, fencing tokens.
#ifndef LYNXGLADE_BASE_UNITS_H_
#define LYNXGLADE_BASE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace lynxglade::base {

// A number that can be combined only with numbers of the same Tag.
template <typename Tag, typename Rep>
class StrongNumber {
 public:
  using rep = Rep;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep value) noexcept : value_(value) {}

  constexpr Rep value() const noexcept { return value_; }

  constexpr auto operator<=>(const StrongNumber&) const = default;

  constexpr StrongNumber& operator+=(StrongNumber other) noexcept {
    value_ += other.value_;
    return *this;
  }
  constexpr StrongNumber& operator-=(StrongNumber other) noexcept {
    value_ -= other.value_;
    return *this;
  }
  friend constexpr StrongNumber operator+(StrongNumber a,
                                          StrongNumber b) noexcept {
    return a += b;
  }
  friend constexpr StrongNumber operator-(StrongNumber a,
                                          StrongNumber b) noexcept {
    return a -= b;
  }

 private:
  Rep value_{};
};

template <typename Tag, typename Rep>
std::ostream& operator<<(std::ostream& out, StrongNumber<Tag, Rep> n) {
  return out << n.value();
}

// Number of model tokens.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
// The weight of a completed request in goodput, as stated by the caller.
using Worth = StrongNumber<struct WorthTag, double>;
// Start time of a target's process in Unix milliseconds, by the target's clock.
// Identifies one lifetime of the target; must not be used for ordering.
using StartMillis = StrongNumber<struct StartMillisTag, std::int64_t>;
// A rate of events.
using PerSecond = StrongNumber<struct PerSecondTag, double>;
// A revision of the platform's key-value service; 0 means none.
using Revision = StrongNumber<struct RevisionTag, std::int64_t>;
// Carried by each order; a greater token means that a newer holder has taken
// over. It is the revision at which the holder's lease key was created.
using FencingToken = StrongNumber<struct FencingTokenTag, std::int64_t>;
// Number of orders given to one engine; each desired state has its own.
using Generation = StrongNumber<struct GenerationTag, std::int64_t>;

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_UNITS_H_
