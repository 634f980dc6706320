// A deployment on loopback: the stand-ins for the platform, the engines and a
// plain service, and instances of the daemon in availability zones.
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
  // Engines and instances of the plain service, over all zones in turn.
  int engines = 4;
  int plain = 1;
  // Tokens a second of one stream of an engine.
  int stream_rate = 300;
  // Further flags of the programs.
  std::vector<std::string> engine_flags;
  std::vector<std::string> platform_flags;
  std::vector<std::string> plain_flags;
  std::vector<std::string> daemon_flags;
};

// The status and body of an answer; status 0: none came.
struct HttpReply {
  int status = 0;
  nlohmann::json body;
};
HttpReply HttpCall(int port,
                   const std::string& method,
                   const std::string& path,
                   const nlohmann::json& body = {});

// Ports from 27000 on that no other deployment uses while this is held.
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

// Used from one thread, but for Entries() and Journals().
class Deployment {
 public:
  static constexpr char kEngineService[] = "llm";
  static constexpr char kPlainService[] = "portal";
  // The contracts of Configure().
  static constexpr char kContract[] = "archive";
  static constexpr char kOtherContract[] = "parish";

  // Starts the stand-ins and fills the instance list.
  explicit Deployment(DeploymentOptions options = {});
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  // Starts a daemon in a zone (from 0), lists it and returns its number.
  int AddInstance(int zone = 0, const std::vector<std::string>& flags = {});
  // Starts instances, states the first configuration and waits until every
  // instance serves all targets. Fails the test otherwise.
  void Start(int instances_per_zone);
  bool WaitReady(int instance);
  void Unlist(int instance);

  Process& instance(int n) { return *instances_[n]->process; }
  int caller_port(int n) const;
  int admin_port(int n) const;
  // Where it listens for peers.
  std::string PeerEndpoint(int n) const;
  std::vector<Load::Entry> Entries() const;

  // The administration API of an instance.
  HttpReply Admin(int instance,
                  const std::string& method,
                  const std::string& path,
                  const nlohmann::json& body = {}) const;
  // States and confirms at the instance; the new revision.
  std::optional<long> Change(int instance, const nlohmann::json& changes) const;
  long RevisionAt(int instance) const;
  // Value of a metric summed over its labels that contain `label`.
  double Metric(int instance,
                const std::string& name,
                const std::string& label = "") const;

  // Switches of the stand-ins; "id" names one of them.
  void FaultEngines(const nlohmann::json& switches) const;
  void FaultPlain(const nlohmann::json& switches) const;
  void FaultPlatform(const nlohmann::json& switches) const;
  // Cuts a zone off from the key-value service and the instance list, or from
  // the targets of the other zones, whose instances lose its targets.
  void CutFromPlatform(int zone, bool cut) const;
  void CutFromZones(int zone, bool cut) const;
  void SetListState(const std::string& id, const std::string& state) const;

  // GET /v1/state of the n-th engine, from 0; empty while it does not answer.
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

// Runs that did any work of the request with this id, or of all requests with
// this idempotency key (see caller.cc for the ids of these).
int RunsOf(const std::vector<nlohmann::json>& runs, const std::string& id);

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_DEPLOYMENT_H_
