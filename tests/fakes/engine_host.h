// A fake engine with its listeners and its scheduler thread.
#ifndef LYNXGLADE_FAKES_ENGINE_HOST_H_
#define LYNXGLADE_FAKES_ENGINE_HOST_H_

#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <nlohmann/json.hpp>

#include "base/random.h"
#include "base/time.h"
#include "fakes/engine_core.h"
#include "fakes/kv_blocks.h"

namespace lynxglade::fakes {

class LinkedPorts;
class WeightFetcher;

struct EngineHostSettings {
  EngineSettings engine;
  std::string address = "127.0.0.1";
  // 0 picks a free port.
  int port = 0;
  // Number of ports, `link_stride` apart. Each can be cut separately to
  // simulate a partition between the engine and one zone.
  int links = 1;
  int link_stride = 100;
  // Idle timeout of kept-alive connections.
  base::Duration idle_timeout = std::chrono::seconds(60);
  // "http://address:port" of the weight store; empty: no weight store is used.
  std::string weights_url;
};

// Thread-safe. Runs from Start() to destruction; a simulated crash closes the
// listener and opens it again with a new incarnation.
class EngineHost {
 public:
  EngineHost(EngineHostSettings settings,
             base::RandomSource random,
             KvBlocks& blocks);
  ~EngineHost();
  EngineHost(const EngineHost&) = delete;
  EngineHost& operator=(const EngineHost&) = delete;

  // False when the port cannot be bound.
  bool Start();
  // Applies fault switches of the engine and its listeners. With a member
  // "link" (from 1), "hang", "refuse" and "reset_connections" apply to that
  // port only.
  void ApplyFaults(const nlohmann::json& switches);
  // All runs, refusals and orders of the engine.
  nlohmann::json JournalJson() const;

  EngineCore& core() noexcept { return core_; }
  const EngineCore& core() const noexcept { return core_; }
  const std::string& id() const noexcept { return core_.id(); }
  int port() const;

 private:
  void Run();
  void SimulateCrash(const CrashPlan& plan);
  // Sleeps for `d`; returns early when the host stops or, if `early`, when work
  // arrives.
  void SleepFor(base::Duration d, bool early);
  void WakeUp();

  EngineHostSettings settings_;
  EngineCore core_;
  std::unique_ptr<LinkedPorts> ports_;
  std::unique_ptr<WeightFetcher> weights_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  bool has_work_ = false;
  std::thread thread_;
};

}  // namespace lynxglade::fakes

#endif  // LYNXGLADE_FAKES_ENGINE_HOST_H_
