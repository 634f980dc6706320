// An `lynxgladed entry` process under test, and calls to it.
#ifndef LYNXGLADE_TESTS_SYSTEM_ENTRY_PROCESS_H_
#define LYNXGLADE_TESTS_SYSTEM_ENTRY_PROCESS_H_

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include "system/process.h"

namespace lynxglade::system_test {

// Returns a port that was free at the time of the call.
int FreePort();

bool IsStatus(const std::string& answer, const std::string& status);

// The value of a target's entry in the store, for service "s".
std::string TargetEntry(int port);

// The header line in which an answer repeats the id of its request, and the
// line that proves its origin.
std::string AnswerLines(const std::string& request);

struct EntryProcessSettings {
  std::string name;
  std::string zone = "a";
  int store_port = 0;
  int port = 0;
  int health_port = 0;
  int peer_port = 0;
  // Where its output goes, one file a lifetime.
  std::filesystem::path folder;
  // Further flags.
  std::vector<std::string> flags = {};
};

// An entry instance that takes part in the exchange with its peers. It keeps
// its name and ports when it is started again.
class EntryProcess {
 public:
  // In zone "a", with free ports.
  EntryProcess(int number, int store_port);
  explicit EntryProcess(EntryProcessSettings settings);
  // Kills the process if it runs, and starts it again.
  void Restart();

  // Returns the whole answer; an empty string if the connection is refused.
  std::string Get(const std::string& path) const;
  // `headers`: further header lines, each with its end.
  std::string Post(const std::string& path,
                   const std::string& id,
                   const std::string& body,
                   const std::string& headers = {}) const;
  // Whether the metrics page has the line.
  bool Shows(const std::string& line) const;
  // The instance's key in the store.
  std::string Key() const {
    return "lynxglade/instances/" + settings_.zone + '/' + settings_.name;
  }
  int port() const noexcept { return settings_.port; }
  int health_port() const noexcept { return settings_.health_port; }
  Process& process() noexcept { return *process_; }

 private:
  const EntryProcessSettings settings_;
  int lifetimes_ = 0;
  std::optional<Process> process_;
};

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_TESTS_SYSTEM_ENTRY_PROCESS_H_
