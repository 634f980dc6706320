// A deployment of real processes on loopback: entry instances, engines, a
// store, callers, and faults from outside.
#ifndef LYNXGLADE_TESTS_RIG_RIG_H_
#define LYNXGLADE_TESTS_RIG_RIG_H_

#include <cstdint>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "base/random.h"
#include "base/time.h"
#include "bench/retries/retry_bound.h"
#include "connection/event/http_types.h"
#include "rig/day.h"
#include "rig/link_proxy.h"
#include "rig/records.h"
#include "rig/traffic.h"
#include "system/entry_process.h"
#include "system/process.h"
#include "system/scripted_store.h"
#include "system/store_view.h"

namespace lynxglade::rig {

struct RigSettings {
  DaySettings day;
  TrafficSettings traffic;
  // Divides the engines' times.
  double engine_speed = 1;
  // The retry budget of all instances together.
  bench::RetryBoundTerms retries;
  // Where processes write their output.
  std::filesystem::path folder;
  std::filesystem::path engine_program;
  // Called with one line of progress.
  std::function<void(const std::string& line)> on_progress;
};

// Not thread-safe. The destructor ends all processes it started.
class Rig {
 public:
  explicit Rig(RigSettings settings);
  ~Rig();
  Rig(const Rig&) = delete;
  Rig& operator=(const Rig&) = delete;

  // Runs the day; false if the instances do not become ready.
  bool Run();
  // What callers and engines saw; after Run().
  RunRecords Records() const;
  // The outputs of the instances, for the report of a broken bound.
  const std::filesystem::path& folder() const { return settings_.folder; }

 private:
  struct EngineSlot {
    bool is_model = false;
    bool prefills = false;
    std::string zone;
    int port = 0;
    // Another one than `port` if a proxy is between.
    int public_port = 0;
    int lifetimes = 0;
    std::vector<std::string> faults;
    std::unique_ptr<system_test::Process> process;
    // It ended by itself.
    bool restarting = false;
  };
  template <typename T>
  using Awaitable = connection::event::Awaitable<T>;

  void StartEngines();
  void StartEngine(std::size_t i);
  std::string EngineId(std::size_t i) const;
  void StartInstances();
  // The store as an instance with links of its own to the engines sees it.
  std::unique_ptr<system_test::StoreView> LinkInstance(std::size_t i);
  Awaitable<void> CutInstance(Fault fault);
  // Sends most first tries to the instance, which runs for a part of the time.
  Awaitable<void> FloodInstance(Fault fault);
  bool AwaitReady();
  Awaitable<void> Play();
  Awaitable<void> PlayFaults(base::Time begin);
  Awaitable<void> PlayFault(Fault fault);
  Awaitable<void> TerminateInstance(std::size_t i);
  Awaitable<void> KillEngine(Fault fault);
  // Starts engines that ended by themselves again.
  Awaitable<void> RestartCrashed();
  Awaitable<void> DisturbLink(Fault fault);
  void Report(const std::string& line) const;

  RigSettings settings_;
  const Day day_;
  const base::Time epoch_;
  connection::event::asio::io_context loop_;
  // Held for the run; see ReservePorts().
  connection::event::asio::ip::udp::socket reservation_;
  system_test::ScriptedStore store_;
  std::vector<int> ports_;
  std::vector<EngineSlot> engines_;
  std::vector<std::unique_ptr<LinkProxy>> links_;
  // By instance and engine, if instances can be cut off.
  std::vector<std::vector<std::unique_ptr<LinkProxy>>> instance_links_;
  std::vector<std::unique_ptr<system_test::StoreView>> views_;
  std::vector<CutSpan> cuts_;
  std::vector<FloodSpan> floods_;
  std::vector<std::unique_ptr<system_test::EntryProcess>> instances_;
  std::unique_ptr<Traffic> traffic_;
};

}  // namespace lynxglade::rig

#endif  // LYNXGLADE_TESTS_RIG_RIG_H_
