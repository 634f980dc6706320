// Weighted least-squares fit of a line to points whose weight decays.
#ifndef LYNXGLADE_REQUEST_PASSTHROUGH_LINE_FIT_H_
#define LYNXGLADE_REQUEST_PASSTHROUGH_LINE_FIT_H_

#include <algorithm>

namespace lynxglade::request::passthrough {

struct Line {
  double base = 0;
  double slope = 0;
  double At(double x) const noexcept { return base + slope * x; }
};

class LineFit {
 public:
  // Multiplies the weight of all points so far.
  void Decay(double factor) noexcept {
    for (double* sum : {&weight_, &x_, &xx_, &y_, &xy_}) {
      *sum *= factor;
    }
  }

  void Add(double x, double y, double weight) noexcept {
    weight_ += weight;
    x_ += weight * x;
    xx_ += weight * x * x;
    y_ += weight * y;
    xy_ += weight * x * y;
  }

  double weight() const noexcept { return weight_; }
  // Weighted sums; divide by weight() for the means.
  double sum_x() const noexcept { return x_; }
  double sum_xx() const noexcept { return xx_; }

  // Points at one x determine no slope, and noise may give a negative base:
  // then y is taken as proportional to x. The slope is at least `min_slope`.
  // There must be a point.
  Line Fit(double min_slope) const noexcept {
    constexpr double kMinVariance = 0.01;
    const double x = x_ / weight_;
    const double y = y_ / weight_;
    const double variance = xx_ / weight_ - x * x;
    const double covariance = xy_ / weight_ - x * y;
    const double proportional = std::max(y / x, min_slope);
    if (variance < kMinVariance * x * x) {
      return {0, proportional};
    }
    const double slope = std::max(covariance / variance, min_slope);
    const double base = y - slope * x;
    return base < 0 ? Line{0, proportional} : Line{base, slope};
  }

 private:
  double weight_ = 0;
  double x_ = 0;
  double xx_ = 0;
  double y_ = 0;
  double xy_ = 0;
};

}  // namespace lynxglade::request::passthrough

#endif  // LYNXGLADE_REQUEST_PASSTHROUGH_LINE_FIT_H_
