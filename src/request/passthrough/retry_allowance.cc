#include "request/passthrough/retry_allowance.h"

#include <algorithm>

namespace lynxglade::request::passthrough {

RetryAllowance::RetryAllowance(RetryAllowanceOptions options)
    : options_(options) {}

void RetryAllowance::OnRequest(const base::ServiceName& service,
                               base::Time now) {
  Trimmed(service, now).requests.push_back(now);
}

bool RetryAllowance::TryTake(const base::ServiceName& service,
                             int arrivals,
                             int instances,
                             base::Time now) {
  Window& window = Trimmed(service, now);
  const double earned =
      options_.ratio * static_cast<double>(window.requests.size());
  const double share = options_.allowance / std::max(instances, 1);
  const double spent = static_cast<double>(window.extra.size());
  if (spent + arrivals > options_.safety * (earned + share)) {
    return false;
  }
  window.extra.insert(window.extra.end(), static_cast<std::size_t>(arrivals),
                      now);
  return true;
}

void RetryAllowance::Charge(const base::ServiceName& service, base::Time now) {
  Trimmed(service, now).extra.push_back(now);
}

RetryAllowance::Window& RetryAllowance::Trimmed(
    const base::ServiceName& service,
    base::Time now) {
  Window& window = windows_[service];
  const base::Time oldest = now - options_.window;
  const auto trim = [oldest](std::deque<base::Time>& times) {
    while (!times.empty() && times.front() < oldest) {
      times.pop_front();
    }
  };
  trim(window.requests);
  trim(window.extra);
  return window;
}

}  // namespace lynxglade::request::passthrough
