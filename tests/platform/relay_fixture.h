// Test fixture: a relay on loopback with the platform's protocol, a client, and
// targets with scripted answers.
#ifndef LYNXGLADE_TESTS_PLATFORM_RELAY_FIXTURE_H_
#define LYNXGLADE_TESTS_PLATFORM_RELAY_FIXTURE_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "base/metrics.h"
#include "connection/answer_text.h"
#include "connection/chunk.h"
#include "connection/event/caller_server.h"
#include "connection/event/channel_pool.h"
#include "connection/event/loop_thread.h"
#include "connection/scripted_server.h"
#include "request/passthrough/quarantine_options.h"
#include "request/passthrough/relay.h"

namespace lynxglade::platform {

inline constexpr char kProofLine[] = "Lynxglade-Instance-Signature: s\r\n";

// The header's value in a raw request; empty if it is missing.
std::string Header(const std::string& request, const std::string& name);

// The header line in which an answer repeats the id of its request.
std::string Echo(const std::string& request);

// An answer to the request; `more` holds complete header lines.
connection::ScriptedServer::Reply Answer(const std::string& request,
                                         const std::string& status,
                                         const std::string& body,
                                         const std::string& more = kProofLine);
connection::ScriptedServer::Reply Ok(const std::string& request);
connection::ScriptedServer::Reply NotRun(const std::string& request);

// Header lines of a prompt long enough for a prefill engine, and the answer of
// a prefill engine that has prefilled it.
inline constexpr char kPromptLines[] =
    "Lynxglade-Model: m\r\nLynxglade-Token-Usage: 17020,13\r\n"
    "Lynxglade-Prefix-Hash: aa:13300,bb:3720\r\n";
connection::ScriptedServer::Reply PrefillDone(const std::string& request);

// Events first..last of a stream; the final chunk is sent only with kKeep.
connection::ScriptedServer::Reply Stream(const std::string& request,
                                         int first,
                                         int last,
                                         connection::ScriptedServer::Then then);
// One event of a stream.
std::string Event(int id);
using tests::Chunk;
std::string StreamHead(const std::string& request);
// The head of a stream with neither a length nor chunks.
std::string UnframedStreamHead(const std::string& request);

// Routes /safe/, /unsafe/, /stream/ and /resumable/ to service "s".
std::shared_ptr<const request::passthrough::RouteTable> MakeRoutes();

bool IsStatus(const std::string& answer, const std::string& status);

class RelayTest : public testing::Test {
 protected:
  RelayTest();
  ~RelayTest() override;

  void StartRelay();
  // Adds a target with the next id: t0, t1, ...
  connection::ScriptedServer& AddTarget(
      connection::ScriptedServer::Handler handler,
      request::passthrough::EngineStage stage =
          request::passthrough::EngineStage::kDecode);
  static std::string Request(const std::string& path,
                             const std::string& more = {},
                             const std::string& id = "r1");
  // Sends the request and returns all bytes of the answer.
  std::string Call(const std::string& request);
  // The same, as its caller reads it.
  tests::AnswerText CallAndRead(const std::string& request);
  // Number of requests that all targets have received.
  std::size_t Arrivals() const;
  // Spends the retry budget: retries and charged first prefills are rejected.
  void ExhaustRetryBudget();

  connection::event::asio::io_context loop_;
  base::Metrics metrics_;
  connection::event::ChannelPool channels_{loop_, base::BootClock::now};
  request::passthrough::EngineTable engines_{base::Duration(0)};
  request::passthrough::PrefillTimes prefill_times_;
  request::passthrough::GenerationTimes generation_times_;
  request::passthrough::AnswerAdmission answers_{generation_times_,
                                                 base::SeededRandom(1)};
  request::passthrough::SendLimits limits_{
      {.instance = base::InstanceId("i0")},
      {.members =
           [] {
             return std::vector<request::passthrough::FleetMember>{
                 {base::InstanceId("i0"), base::ZoneId("a")}};
           },
       .members_version = [] { return std::uint64_t{1}; },
       .instance_count = [] { return 1; },
       .view_age = [] { return base::Duration(0); }},
      base::BootClock::now,
      metrics_};
  request::passthrough::EnginePicker picker_{
      {.zone = base::ZoneId("a")},
      prefill_times_,
      base::SeededRandom(1),
      {},
      {},
      {},
      {},
      [this](request::passthrough::Engine& engine, base::Time now) {
        return limits_.MaySend(engine, now);
      }};
  request::passthrough::ForecastErrors forecast_errors_;
  request::passthrough::ServedShares served_shares_{base::SeededRandom(1)};
  request::passthrough::SharedRetryBudget retry_budget_{{}};
  request::Quarantine quarantine_{
      request::passthrough::FleetQuarantineOptions(),
      base::InstanceId("i0"),
      {}};
  request::passthrough::CrashChecks crash_checks_{loop_,
                                                  quarantine_,
                                                  {},
                                                  base::BootClock::now,
                                                  metrics_};
  request::passthrough::ZoneHealth zones_;
  request::passthrough::RunTimes run_times_;
  // Organisations of which a target ran a request, in order.
  std::vector<std::string> runs_;
  request::passthrough::RelayOptions options_;
  bool accepts_ = true;
  base::Duration view_age_{};
  std::optional<base::Duration> time_to_stop_;
  std::shared_ptr<const request::passthrough::RouteTable> routes_ =
      MakeRoutes();
  std::vector<std::unique_ptr<connection::ScriptedServer>> targets_;
  std::unique_ptr<request::passthrough::Relay> relay_;
  std::unique_ptr<connection::event::CallerServer> server_;
  std::optional<connection::event::LoopThread> thread_;
};

}  // namespace lynxglade::platform

#endif  // LYNXGLADE_TESTS_PLATFORM_RELAY_FIXTURE_H_
