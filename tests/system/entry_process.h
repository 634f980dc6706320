// An `lynxgladed entry` process under test, and calls to it.
#ifndef LYNXGLADE_TESTS_SYSTEM_ENTRY_PROCESS_H_
#define LYNXGLADE_TESTS_SYSTEM_ENTRY_PROCESS_H_

#include <string>

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

// An entry instance of zone "a" that takes part in the exchange with its peers.
class EntryProcess {
 public:
  EntryProcess(int number, int store_port);

  // Returns the whole answer; an empty string if the connection is refused.
  std::string Get(const std::string& path) const;
  std::string Post(const std::string& path,
                   const std::string& id,
                   const std::string& body) const;
  // Whether the metrics page has the line.
  bool Shows(const std::string& line) const;
  // The instance's key in the store.
  std::string Key() const { return "lynxglade/instances/a/" + name_; }
  int health_port() const noexcept { return health_port_; }
  Process& process() noexcept { return process_; }

 private:
  const std::string name_;
  const int port_ = FreePort();
  const int health_port_ = FreePort();
  Process process_;
};

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_TESTS_SYSTEM_ENTRY_PROCESS_H_
