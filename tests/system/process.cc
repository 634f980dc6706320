#include "system/process.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lynxglade::system_test {

namespace {

constexpr std::chrono::milliseconds kPoll{20};

std::filesystem::path WithSuffix(const std::filesystem::path& path,
                                 const char* suffix) {
  return path.string() + suffix;
}

std::string ReadAll(const std::filesystem::path& path) {
  const std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

void Redirect(posix_spawn_file_actions_t* actions,
              int descriptor,
              const std::filesystem::path& path) {
  posix_spawn_file_actions_addopen(actions, descriptor, path.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
}

}  // namespace

bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds bound) {
  const auto end = std::chrono::steady_clock::now() + bound;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

std::string DaemonProgram(const char* built) {
  const char* other = std::getenv("LYNXGLADED");
  return other != nullptr ? other : built;
}

Process::Process(std::vector<std::string> arguments, std::filesystem::path log)
    : log_(std::move(log)) {
  std::vector<char*> argv;
  std::ranges::transform(arguments, std::back_inserter(argv),
                         [](std::string& it) { return it.data(); });
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  Redirect(&actions, STDOUT_FILENO, WithSuffix(log_, ".out"));
  Redirect(&actions, STDERR_FILENO, WithSuffix(log_, ".log"));
  if (posix_spawn(&pid_, argv[0], &actions, nullptr, argv.data(), environ) !=
      0) {
    pid_ = -1;
  }
  posix_spawn_file_actions_destroy(&actions);
}

Process::~Process() {
  Kill();
}

void Process::Send(int signal) const {
  if (pid_ > 0 && !status_) {
    kill(pid_, signal);
  }
}

void Process::Kill() {
  Send(SIGKILL);
  Reap(0);
}

std::optional<int> Process::Terminate(std::chrono::milliseconds bound) {
  Send(SIGTERM);
  if (!WaitFor([this] { return Reap(WNOHANG); }, bound)) {
    return std::nullopt;
  }
  const bool exited = status_ && WIFEXITED(*status_);
  return exited ? std::optional(WEXITSTATUS(*status_)) : std::nullopt;
}

bool Process::running() {
  return pid_ > 0 && !Reap(WNOHANG);
}

std::string Process::Output() const {
  return ReadAll(WithSuffix(log_, ".out"));
}

std::string Process::Log() const {
  return ReadAll(WithSuffix(log_, ".log"));
}

bool Process::Reap(int options) {
  if (pid_ <= 0 || status_) {
    return true;
  }
  int status = 0;
  if (waitpid(pid_, &status, options) != pid_) {
    return false;
  }
  status_ = status;
  return true;
}

}  // namespace lynxglade::system_test
