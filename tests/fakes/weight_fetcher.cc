#include "fakes/details/weight_fetcher.h"

#include <chrono>
#include <cstdlib>
#include <utility>

#include "fakes/details/http_server.h"

namespace lynxglade::fakes {

namespace {

constexpr int kTimeoutSeconds = 1;
// Keeps the change from ending between two attempts.
constexpr base::Duration kChangeMargin = std::chrono::seconds(1);
constexpr base::Duration kRetryInterval = std::chrono::milliseconds(200);

std::string NameOf(const EngineSetup& setup) {
  return setup.model + "/" + setup.version;
}

}  // namespace

WeightFetcher::WeightFetcher(std::string url,
                             base::Clock clock,
                             EngineCore& core)
    : url_(std::move(url)), clock_(std::move(clock)), core_(core) {}

void WeightFetcher::Advance() {
  const std::optional<EngineSetup> required = core_.RequiredWeights();
  if (url_.empty() || !required) {
    fetched_.clear();
    return;
  }
  if (fetched_ == NameOf(*required) || clock_() < next_try_) {
    return;
  }
  const std::optional<base::Duration> wait = Fetch(*required);
  if (!wait) {
    fetched_ = NameOf(*required);
    return;
  }
  next_try_ = clock_() + *wait;
  core_.DelayChange(next_try_ + kChangeMargin);
}

std::optional<base::Duration> WeightFetcher::Fetch(
    const EngineSetup& setup) const {
  httplib::Client client(url_);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  const auto res = client.Get("/v1/weights/" + NameOf(setup));
  if (!res) {
    return kRetryInterval;
  }
  constexpr int kOk = 200;
  if (res->status == kOk) {
    return std::nullopt;
  }
  const std::string after = res->get_header_value("Retry-After");
  const long seconds = std::strtol(after.c_str(), nullptr, 10);
  return seconds > 0 ? base::Duration(std::chrono::seconds(seconds))
                     : kRetryInterval;
}

}  // namespace lynxglade::fakes
