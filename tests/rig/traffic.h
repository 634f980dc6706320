// Callers of the rig: a mix of kinds of requests with the sizes, timeouts and
// retries of a deployment's sheet, over connections that are kept.
#ifndef LYNXGLADE_TESTS_RIG_TRAFFIC_H_
#define LYNXGLADE_TESTS_RIG_TRAFFIC_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/time.h"
#include "connection/answer_text.h"
#include "connection/event/http_types.h"
#include "rig/caller_channel.h"
#include "rig/records.h"

namespace lynxglade::rig {

// The shared part of a kind's prompts.
struct SharedPart {
  // How many different ones there are.
  int count = 1;
  double mean_tokens = 0;
  // Standard deviation of the logarithm.
  double spread = 0.7;
};

enum class RequestType { kStream, kIdempotent, kNonIdempotent };

// One kind of request.
struct RequestKind {
  std::string name;
  std::string service;
  RequestType type = RequestType::kStream;
  double per_second = 10;
  base::Duration timeout = std::chrono::seconds(5);
  base::Duration latency_target = std::chrono::milliseconds(500);
  base::Duration pause_target = std::chrono::milliseconds(250);
  int priority = 0;
  int max_targets = 1;
  bool resumable = false;
  SharedPart shared = {};
  // Of the request's own part of the prompt, in tokens.
  double own_mean = 0;
  double own_spread = 1;
  double own_max = 0;
  // Of the answer, in events.
  double events_mean = 0;
  double events_spread = 1;
  double events_max = 0;
  std::size_t body_mean = 0;
  std::size_t body_max = 0;

  std::string Path() const { return "/" + name + "/"; }
};

// The mix of a deployment with albums, captions and notes beside plain calls.
std::vector<RequestKind> AlbumMix();

// The configuration document that routes the kinds' requests.
nlohmann::json MakeConfiguration(const std::vector<RequestKind>& kinds);

struct TrafficSettings {
  std::vector<RequestKind> kinds;
  // Ports of the instances that callers connect to.
  std::vector<int> ports;
  // The zones of these instances.
  std::vector<std::string> zones;
  // Multiplies the rates of all kinds.
  double load = 1;
  base::Duration length{};
  int callers = 37;
  int tokens_per_event = 9;
  std::uint64_t seed = 1;
  // Requests with this body are sent `crashing_copies` times, from
  // `crashing_at` on, as requests of the first kind.
  std::string crashing_body;
  int crashing_copies = 0;
  base::Duration crashing_at = std::chrono::seconds(5);
  // Requests with one of so many parts of prompts that begin so are sent all
  // the time from `crashing_at` on; all prompts have a first part by kind then.
  std::string crashing_part;
  int crashing_parts = 0;
  double crashing_part_per_second = 1.2;
  // Breaks the records on purpose: every large request counts as refused.
  bool refuse_large = false;
};

// Not thread-safe: runs on the event loop.
class Traffic {
 public:
  Traffic(connection::event::asio::io_context& loop,
          TrafficSettings settings,
          base::Clock clock);
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

  // Sends requests for TrafficSettings::length, and waits for the last ones.
  connection::event::Awaitable<void> Run();
  // From now on most first tries go to the instance; to the callers' own ones
  // if there is none.
  void SendMostTo(std::optional<std::size_t> instance) { most_to_ = instance; }
  const std::vector<CallerRequestRecord>& records() const noexcept {
    return records_;
  }

 private:
  template <typename T>
  using Awaitable = connection::event::Awaitable<T>;
  struct Draft;
  struct AttemptResult;

  Draft Draw(const RequestKind& kind);
  Awaitable<void> SendKind(const RequestKind& kind, base::Time end);
  Awaitable<void> SendCrashing();
  Awaitable<void> SendCrashingPart(std::string part, base::Time end);
  Awaitable<void> ServeDraft(Draft draft);
  Awaitable<AttemptResult> Send(const Draft& draft,
                                std::size_t instance,
                                base::Duration timeout,
                                CallerRequestRecord& record);
  // Sends the request and reads its answer.
  Awaitable<void> Exchange(CallerChannel& channel,
                           const Draft& draft,
                           base::Time sent_at,
                           base::Duration timeout,
                           tests::AnswerText& answer,
                           CallerRequestRecord& record);
  Awaitable<std::unique_ptr<CallerChannel>> Connect(
      connection::event::Tcp::endpoint endpoint,
      base::Duration timeout);
  static std::string Message(const Draft& draft,
                             const std::string& id,
                             base::Duration timeout);
  double DrawSize(double mean, double spread, double max);

  connection::event::asio::io_context& loop_;
  const TrafficSettings settings_;
  const base::Clock clock_;
  const base::RandomSource random_;
  KeptChannels channels_;
  std::vector<CallerRequestRecord> records_;
  std::optional<std::size_t> most_to_;
  std::uint64_t next_id_ = 0;
  int pending_ = 0;
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_TRAFFIC_H_
