// An entry instance for a platform whose store holds the configuration and the
// targets. Everything runs on one event loop in one thread.
#ifndef LYNXGLADE_MAIN_ENTRY_DAEMON_H_
#define LYNXGLADE_MAIN_ENTRY_DAEMON_H_

#include <memory>
#include <string>

#include "process/entry_settings.h"

namespace lynxglade {

class EntryDaemon {
 public:
  explicit EntryDaemon(const process::EntrySettings& settings);
  ~EntryDaemon();
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  // Binds the addresses. On failure returns false, and `*reason` says which
  // address and why.
  bool Start(std::string* reason);
  // Serves until SIGTERM or SIGINT, then stops gracefully before it returns.
  void Run();

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

// Runs the subcommand `lynxgladed entry` and returns the exit status. argv[0]
// is the subcommand's name.
int RunEntryDaemon(int argc, const char* const* argv);

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_ENTRY_DAEMON_H_
