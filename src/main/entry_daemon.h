// An entry instance on a platform whose store holds the targets and the
// configuration. One event loop and one thread serve all of it.
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

  // Binds the addresses. False: `*reason` says which and why not.
  bool Start(std::string* reason);
  // Serves until SIGTERM or SIGINT and the graceful stop after it.
  void Run();

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

// The program `lynxgladed entry`; `argv` without that word. Returns the exit
// code.
int RunEntryDaemon(int argc, const char* const* argv);

}  // namespace lynxglade

#endif  // LYNXGLADE_MAIN_ENTRY_DAEMON_H_
