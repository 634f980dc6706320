#include "fakes/details/weight_fetcher.h"

#include <chrono>
#include <cstdlib>
#include <utility>

#include "fakes/details/http_server.h"

namespace lynxglade::fakes {

namespace {

constexpr int kTimeoutSeconds = 1;
// The change must not end between two tries.
constexpr base::Duration kMargin = std::chrono::seconds(1);
constexpr base::Duration kRetry = std::chrono::milliseconds(200);

std::string NameOf(const EngineSetup& setup) {
  return setup.model + "/" + setup.version;
}

}  // namespace

WeightFetcher::WeightFetcher(std::string url,
                             base::Clock clock,
                             EngineCore& core)
    : url_(std::move(url)), clock_(std::move(clock)), core_(core) {}

void WeightFetcher::Advance() {
  const std::optional<EngineSetup> wanted = core_.WantedWeights();
  if (url_.empty() || !wanted) {
    have_.clear();
    return;
  }
  if (have_ == NameOf(*wanted) || clock_() < next_try_) {
    return;
  }
  const std::optional<base::Duration> wait = Fetch(*wanted);
  if (!wait) {
    have_ = NameOf(*wanted);
    return;
  }
  next_try_ = clock_() + *wait;
  core_.DelayChange(next_try_ + kMargin);
}

std::optional<base::Duration> WeightFetcher::Fetch(
    const EngineSetup& setup) const {
  httplib::Client client(url_);
  client.set_connection_timeout(kTimeoutSeconds);
  client.set_read_timeout(kTimeoutSeconds);
  const auto res = client.Get("/v1/weights/" + NameOf(setup));
  if (!res) {
    return kRetry;
  }
  constexpr int kOk = 200;
  if (res->status == kOk) {
    return std::nullopt;
  }
  const std::string after = res->get_header_value("Retry-After");
  const long seconds = std::strtol(after.c_str(), nullptr, 10);
  return seconds > 0 ? base::Duration(std::chrono::seconds(seconds)) : kRetry;
}

}  // namespace lynxglade::fakes
