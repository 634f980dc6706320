// Strong numeric types: counts, revisions, fencing tokens.
#ifndef LYNXGLADE_BASE_UNITS_H_
#define LYNXGLADE_BASE_UNITS_H_

#include <compare>
#include <cstdint>
#include <ostream>

namespace lynxglade::base {

// A number that only mixes with numbers of the same Tag.
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

// A count of model tokens.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;
// What one delivered request counts towards goodput; stated by the caller.
using Worth = StrongNumber<struct WorthTag, double>;
// When a target's process was started, in Unix milliseconds by its own clock:
// tells the lives of one target apart, and orders nothing.
using StartMillis = StrongNumber<struct StartMillisTag, std::int64_t>;
// A revision of the platform's key-value service; 0 means none.
using Revision = StrongNumber<struct RevisionTag, std::int64_t>;
// The number that an order carries; a holder with a greater one has taken
// over. It is the revision at which the holder's lease key was created.
using FencingToken = StrongNumber<struct FencingTokenTag, std::int64_t>;
// The count of orders given to one engine; each intended state has its own.
using Generation = StrongNumber<struct GenerationTag, std::int64_t>;

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_UNITS_H_
