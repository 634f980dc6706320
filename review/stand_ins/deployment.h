// A small deployment on loopback: instances, a store and plain targets.
#ifndef LYNXGLADE_REVIEW_STAND_INS_DEPLOYMENT_H_
#define LYNXGLADE_REVIEW_STAND_INS_DEPLOYMENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "review/stand_ins/callers.h"
#include "review/stand_ins/instance.h"
#include "review/stand_ins/record.h"
#include "review/stand_ins/store.h"
#include "review/stand_ins/target.h"

namespace lynxglade::review {

// Exit codes of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCannotRun = 2;

// Bounds of a small deployment, in seconds.
inline constexpr double kStableWindow = 3;
inline constexpr double kDrain = 2;
inline constexpr double kConfigApply = 2;

// What a case is called with.
struct CaseArguments {
  std::string record;
  std::string folder;
  bool trouble = true;
};
// Exits if they are malformed.
CaseArguments ParseArguments(int argc, char** argv);

inline constexpr std::size_t kMaxHeaderBytes = 16384;
// A configuration whose routes all belong to one host: each row is the JSON
// text of a route without its host.
std::string Configuration(int version,
                          const std::vector<std::string>& routes,
                          const std::vector<std::string>& services,
                          std::size_t max_header_bytes = kMaxHeaderBytes);
// A route for requests that may run once only.
std::string ReceiptsRoute(const std::string& service);

class Deployment {
 public:
  // The instances and the targets are spread over the zones.
  Deployment(const CaseArguments& arguments,
             const std::vector<TargetSettings>& targets,
             std::size_t instances = 3);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // False if the instances do not become ready.
  bool Start(const std::string& configuration);
  // From now on the target is cold after its start: its entry changes with each
  // heartbeat.
  void BeginHeartbeats(const Target& cold);

  // While the store is down, it answers no call that arrives; see HttpServer.
  void SetStoreDown(bool down);

  Record& record() noexcept { return record_; }
  Store& store() noexcept { return store_; }
  Target& target(std::size_t i) { return *targets_.at(i); }
  Instance& instance(std::size_t i) { return *instances_.at(i); }
  // The store's side of the instance's link to it.
  HttpServer& store_link(std::size_t i) { return *store_links_.at(i); }
  std::vector<std::uint16_t> ports() const;
  std::size_t instance_count() const noexcept { return instances_.size(); }

 private:
  void Beat(const Target& cold);

  Record record_;
  Store store_;
  std::vector<HttpServer*> store_links_;
  std::vector<std::unique_ptr<Target>> targets_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::atomic<bool> stopped_ = false;
  std::thread heartbeats_;
};

void Sleep(double seconds);

}  // namespace lynxglade::review

#endif  // LYNXGLADE_REVIEW_STAND_INS_DEPLOYMENT_H_
