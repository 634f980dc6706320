// A deployment on loopback: fakes of the platform, the engines and a plain
// service, and instances of the daemon in availability zones.
#ifndef LYNXGLADE_SYSTEM_DEPLOYMENT_H_
#define LYNXGLADE_SYSTEM_DEPLOYMENT_H_

#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "system/caller.h"
#include "system/process.h"

namespace lynxglade::system_test {

struct DeploymentOptions {
  int zones = 1;
  // Number of engines and plain-service instances, assigned to zones
  // round-robin.
  int engines = 4;
  int plain = 1;
  // Tokens per second of one stream of an engine.
  int stream_rate = 300;
  // Additional flags of the programs.
  std::vector<std::string> engine_flags;
  std::vector<std::string> platform_flags;
  std::vector<std::string> plain_flags;
  std::vector<std::string> daemon_flags;
};

// Status and body of a response; status 0: no response.
struct HttpReply {
  int status = 0;
  nlohmann::json body;
};
HttpReply HttpCall(int port,
                   const std::string& method,
                   const std::string& path,
                   const nlohmann::json& body = {});

// Reserves a block of ports from 27000 on while the object exists.
class PortBlock {
 public:
  PortBlock();
  ~PortBlock();
  PortBlock(const PortBlock&) = delete;
  PortBlock& operator=(const PortBlock&) = delete;

  int base() const noexcept { return base_; }

 private:
  int base_ = 0;
  int held_ = -1;
};

// Used from one thread, except for Entries() and EngineJournals(), which a Load
// or another thread may call while no instance is being added.
class Deployment {
 public:
  static constexpr char kEngineService[] = "llm";
  static constexpr char kPlainService[] = "portal";
  // The contracts of the first configuration.
  static constexpr char kContract[] = "archive";
  static constexpr char kOtherContract[] = "parish";

  // Starts the fakes and fills the instance list.
  explicit Deployment(DeploymentOptions options = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts a daemon in a zone (from 0), adds it to the instance list and
  // returns its index.
  int AddInstance(int zone = 0, const std::vector<std::string>& flags = {});
  // Starts instances, applies the first configuration and waits until every
  // instance is ready. Fails the test otherwise.
  void Start(int instances_per_zone);
  bool WaitReady(int instance);
  void Unlist(int instance);

  Process& instance(int n) { return *instances_[n]->process; }
  int caller_port(int n) const;
  int admin_port(int n) const;
  // The endpoint at which the instance listens for peers.
  std::string PeerEndpoint(int n) const;
  std::vector<Load::Entry> Entries() const;

  // Calls the administration API of an instance.
  HttpReply Admin(int instance,
                  const std::string& method,
                  const std::string& path,
                  const nlohmann::json& body = {}) const;
  // Creates and confirms a change plan at the instance; returns the new
  // revision.
  std::optional<long> Change(int instance, const nlohmann::json& changes) const;
  long RevisionAt(int instance) const;
  // Sum of a metric over all label sets that contain `label`.
  double Metric(int instance,
                const std::string& name,
                const std::string& label = "") const;

  // Sets fault switches of the fakes; "id" selects one of them.
  void FaultEngines(const nlohmann::json& switches) const;
  void FaultPlain(const nlohmann::json& switches) const;
  void FaultPlatform(const nlohmann::json& switches) const;
  // Partitions a zone from the key-value service and the instance list, or from
  // the other zones: neither side reaches the targets of the other.
  void CutFromPlatform(int zone, bool cut) const;
  void CutFromZones(int zone, bool cut) const;
  void SetListState(const std::string& id, const std::string& state) const;

  // GET /v1/state of the n-th engine (from 0); empty while it does not respond.
  nlohmann::json EngineState(int n) const;
  std::vector<nlohmann::json> EngineRuns() const;
  std::vector<nlohmann::json> PlainRuns() const;
  std::vector<nlohmann::json> EngineJournals() const;

 private:
  struct Instance {
    int zone = 0;
    std::unique_ptr<Process> process;
  };

  std::unique_ptr<Process> StartStandIn(const std::string& name,
                                        std::vector<std::string> arguments);
  std::vector<std::string> TargetFlags(int count, int port, int control) const;
  void CutLinks(int control, int zone, bool cut) const;
  void WriteList();

  const DeploymentOptions options_;
  const PortBlock ports_;
  const std::filesystem::path directory_;
  std::unique_ptr<Process> platform_;
  std::unique_ptr<Process> engines_;
  std::unique_ptr<Process> plain_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::vector<int> unlisted_;
};

// Number of runs that did work for the request with this id, or for all
// requests with this idempotency key (NewId() in caller.cc derives their ids
// from the key).
int RunsOf(const std::vector<nlohmann::json>& runs, const std::string& id);

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_DEPLOYMENT_H_
