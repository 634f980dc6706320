#include "fakes/engine_host.h"

#include <chrono>
#include <utility>

#include "base/log.h"
#include "fakes/details/engine_routes.h"
#include "fakes/details/linked_ports.h"
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
      core_(settings_.engine,
            &base::BootClock::now,
            std::move(random),
            blocks,
            [this] { WakeUp(); }),
      ports_(std::make_unique<LinkedPorts>(
          LinkedPorts::Settings{settings_.address, settings_.port,
                                settings_.links, settings_.link_stride,
                                settings_.idle_timeout},
          [this](httplib::Server& server) { AddEngineRoutes(server, *this); },
          [this](const std::string& path) {
            return path.starts_with("/v1/") && core_.FaultOn("hang");
          })),
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
  ports_->Close();
}

bool EngineHost::Start() {
  if (!ports_->Open()) {
    return false;
  }
  thread_ = std::thread([this] { Run(); });
  return true;
}

int EngineHost::port() const {
  return ports_->port();
}

void EngineHost::ApplyFaults(const nlohmann::json& switches) {
  if (!ports_->ApplyFaults(switches)) {
    core_.ApplyFaults(switches);
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
      SimulateCrash(*plan);
    }
    SleepFor(busy ? kBusyTick : kIdleTick, !busy);
  }
}

void EngineHost::SimulateCrash(const CrashPlan& plan) {
  base::Log(base::LogLevel::kInfo, "engine_crashes", {{"engine", id()}});
  // The sockets are closed first, so that no response reveals the crash.
  ports_->StopListening();
  ports_->ResetConnections();
  core_.Crash(plan);
  ports_->Close();
  SleepFor(plan.down, false);
  const std::lock_guard lock(mutex_);
  if (!stopping_ && !ports_->Open()) {
    base::Log(base::LogLevel::kError, "engine_cannot_reopen",
              {{"engine", id()}});
  }
}

void EngineHost::SleepFor(base::Duration d, bool early) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, d, [&] { return stopping_ || (early && has_work_); });
  has_work_ = false;
}

void EngineHost::WakeUp() {
  {
    const std::lock_guard lock(mutex_);
    has_work_ = true;
  }
  wake_.notify_all();
}

}  // namespace lynxglade::fakes
