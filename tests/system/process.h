// A child process of the deployment under test.
#ifndef LYNXGLADE_SYSTEM_PROCESS_H_
#define LYNXGLADE_SYSTEM_PROCESS_H_

#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lynxglade::system_test {

// Polls the condition until it holds; false if it does not within `bound`.
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds bound = std::chrono::seconds(15));

// The daemon under test: `built`, unless the environment variable LYNXGLADED
// names another build.
std::string DaemonProgram(const char* built);

// Not thread-safe. The destructor ends and reaps the process.
class Process {
 public:
  // Starts `arguments` (the program first), with its output written to
  // `log`.out and `log`.log.
  Process(std::vector<std::string> arguments, std::filesystem::path log);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Send(int signal) const;
  void Kill();
  // Sends SIGTERM and returns the exit code; nullopt if the process does not
  // end within `bound`.
  std::optional<int> Terminate(
      std::chrono::milliseconds bound = std::chrono::seconds(20));

  bool running();
  pid_t pid() const noexcept { return pid_; }
  std::string Output() const;
  std::string Log() const;

 private:
  bool Reap(int options);

  const std::filesystem::path log_;
  pid_t pid_ = -1;
  std::optional<int> status_;
};

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_PROCESS_H_
