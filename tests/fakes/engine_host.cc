#include "fakes/engine_host.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "fakes/details/engine_routes.h"
#include "fakes/details/http_server.h"
#include "fakes/details/weight_fetcher.h"

namespace lynxglade::fakes {

namespace {

constexpr base::Duration kBusyTick = std::chrono::milliseconds(2);
constexpr base::Duration kIdleTick = std::chrono::milliseconds(10);

}  // namespace

EngineHost::EngineHost(EngineHostSettings settings,
                       base::RandomSource random,
                       KvBlocks& blocks)
    : settings_(std::move(settings)),
      core_(settings_.engine, &base::BootClock::now, std::move(random), blocks),
      listener_(std::make_unique<HttpListener>(
          settings_.address,
          settings_.port,
          settings_.idle_timeout,
          [this](httplib::Server& server) { AddEngineRoutes(server, *this); })),
      weights_(std::make_unique<WeightFetcher>(settings_.weights_url,
                                               &base::BootClock::now,
                                               core_)) {}

EngineHost::~EngineHost() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
  core_.ApplyFaults({{"clear", true}});
  core_.Crash({});
  listener_->Close();
}

bool EngineHost::Start() {
  if (!listener_->Open()) {
    return false;
  }
  thread_ = std::thread([this] { Run(); });
  return true;
}

int EngineHost::port() const {
  return listener_->port();
}

void EngineHost::ApplyFaults(const nlohmann::json& switches) {
  core_.ApplyFaults(switches);
  const bool clear = switches.value("clear", false);
  if (const auto it = switches.find("refuse"); it != switches.end()) {
    if (*it == true) {
      listener_->StopListening();
    } else {
      listener_->Open();
    }
  } else if (clear) {
    listener_->Open();
  }
  if (switches.value("reset_connections", false)) {
    listener_->ResetConnections();
  }
}

nlohmann::json EngineHost::JournalJson() const {
  return {{"engine", id()},
          {"incarnation", core_.StateJson()["incarnation"]},
          {"runs", core_.RunsJson()},
          {"refusals", core_.RefusalsJson()},
          {"orders", core_.OrdersJson()}};
}

void EngineHost::Run() {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (stopping_) {
        return;
      }
    }
    const bool busy = core_.Tick();
    weights_->Advance();
    if (const auto plan = core_.TakeCrash()) {
      GoThroughCrash(*plan);
    }
    SleepFor(busy ? kBusyTick : kIdleTick);
  }
}

void EngineHost::GoThroughCrash(const CrashPlan& plan) {
  base::Log(base::LogLevel::kInfo, "engine_crashes", {{"engine", id()}});
  // The sockets go first: no answer may leave that tells of the crash.
  listener_->StopListening();
  listener_->ResetConnections();
  core_.Crash(plan);
  listener_->Close();
  SleepFor(plan.down);
  const std::lock_guard lock(mutex_);
  if (!stopping_ && !listener_->Open()) {
    base::Log(base::LogLevel::kError, "engine_cannot_reopen",
              {{"engine", id()}});
  }
}

void EngineHost::SleepFor(base::Duration d) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, d, [this] { return stopping_; });
}

}  // namespace lynxglade::fakes
