#include "review/stand_ins/instance.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <thread>
#include <utility>

namespace lynxglade::review {

namespace {

constexpr char kProgram[] = "target/src/main/lynxgladed";

std::string Address(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Instance::Instance(InstanceSettings settings)
    : settings_(std::move(settings)),
      port_(FreePort()),
      health_port_(FreePort()),
      peer_port_(FreePort()) {}

Instance::~Instance() {
  Kill();
}

void Instance::Start() {
  std::vector<std::string> words{
      kProgram,          "entry",
      "--instance-id",   settings_.name,
      "--zone",          settings_.zone,
      "--listen",        Address(port_),
      "--health-listen", Address(health_port_),
      "--peer-listen",   Address(peer_port_),
      "--store",         Address(settings_.store_port)};
  // The bounds of a small deployment.
  std::vector<std::string> variables{
      "LYNXGLADE_LINK_MBPS=1000",  "LYNXGLADE_STOP_GRACE=8",
      "LYNXGLADE_RETRY_RATIO=0.2", "LYNXGLADE_RETRY_ALLOWANCE=52",
      "LYNXGLADE_RETRY_WINDOW=10", "LYNXGLADE_HOLDER_GAP_MS=3000"};
  const auto pointers = [](std::vector<std::string>& texts) {
    std::vector<char*> it;
    std::ranges::transform(texts, std::back_inserter(it),
                           [](std::string& text) { return text.data(); });
    it.push_back(nullptr);
    return it;
  };
  const auto argv = pointers(words);
  const auto envp = pointers(variables);
  const int out = ::open(settings_.log.c_str(),
                         O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  pid_ = ::fork();
  if (pid_ == 0) {
    // Also if the case is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(out, STDOUT_FILENO);
    ::execve(kProgram, argv.data(), envp.data());
    ::_exit(127);
  }
  ::close(out);
}

void Instance::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
}

int Instance::Terminate() {
  int status = 0;
  ::kill(pid_, SIGTERM);
  ::waitpid(std::exchange(pid_, -1), &status, 0);
  return WIFSIGNALED(status) ? WTERMSIG(status) : 0;
}

bool Instance::HasEnded() {
  if (pid_ > 0 && ::waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = -1;
  }
  return pid_ < 0;
}

std::size_t Instance::ResidentBytes() const {
  std::ifstream pages("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  pages >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

Message Instance::Get(const std::string& path) const {
  const Socket socket = Connect(health_port_);
  Message answer;
  if (!socket.is_open() ||
      !SendAll(socket, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n") ||
      MessageReader(socket).Read(&answer, Clock::now() + Millis(500),
                                 /*until_close=*/false) != ReadEnd::kWhole) {
    return {};
  }
  return answer;
}

bool Instance::Ready() const {
  return Get("/readyz").start.find(" 200") != std::string::npos;
}

bool Instance::Shows(const std::string& line) const {
  return ('\n' + Get("/metrics").body).find('\n' + line + '\n') !=
         std::string::npos;
}

bool AwaitReady(const std::vector<const Instance*>& instances, Millis bound) {
  const auto until = Clock::now() + bound;
  while (!std::ranges::all_of(instances,
                              [](const Instance* it) { return it->Ready(); })) {
    if (Clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(Millis(50));
  }
  return true;
}

}  // namespace lynxglade::review
