#include "review/stand_ins_2/daemon.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <thread>
#include <utility>
#include <vector>

namespace lynxglade::review {

namespace {

constexpr char kProgram[] = "target/src/main/lynxgladed";
constexpr Millis kReadyTimeout{10000};
constexpr Millis kPollPeriod{20};

std::string Loopback(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::vector<char*> Pointers(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& it : texts) {
    pointers.push_back(it.data());
  }
  pointers.push_back(nullptr);
  return pointers;
}

}  // namespace

Daemon::Daemon(DaemonSettings settings)
    : settings_(std::move(settings)),
      port_(FreePort()),
      health_port_(FreePort()),
      peer_port_(FreePort()) {}

Daemon::~Daemon() {
  Kill();
}

void Daemon::Launch() {
  std::vector<std::string> words{
      kProgram,          "entry",
      "--instance-id",   settings_.name,
      "--zone",          settings_.zone,
      "--listen",        Loopback(port_),
      "--health-listen", Loopback(health_port_),
      "--peer-listen",   Loopback(peer_port_),
      "--store",         Loopback(settings_.store_port)};
  std::vector<std::string> variables{
      "PATH=/usr/bin:/bin",           "LYNXGLADE_LINK_MBPS=1000",
      "LYNXGLADE_STOP_GRACE=8",       "LYNXGLADE_RETRY_RATIO=0.2",
      "LYNXGLADE_RETRY_ALLOWANCE=52", "LYNXGLADE_RETRY_WINDOW=10",
      "LYNXGLADE_HOLDER_GAP_MS=3000", "LYNXGLADE_TARGET_HEARTBEAT_MS=1200"};
  const std::vector<char*> argv = Pointers(words);
  const std::vector<char*> envp = Pointers(variables);
  const std::string log = settings_.folder + '/' + settings_.name + '.' +
                          std::to_string(++lifetimes_) + ".log";
  pid_ = ::fork();
  if (pid_ == 0) {
    // It does not outlive the test, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(fd, STDOUT_FILENO);
    ::dup2(fd, STDERR_FILENO);
    ::execve(kProgram, argv.data(), envp.data());
    ::_exit(127);
  }
}

bool Daemon::Start() {
  Launch();
  const auto end = Clock::now() + kReadyTimeout;
  while (Clock::now() < end) {
    if (IsReady()) {
      return true;
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
  return false;
}

void Daemon::Signal(int number) const {
  if (pid_ > 0) {
    ::kill(pid_, number);
  }
}

void Daemon::Kill() {
  if (pid_ > 0) {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool Daemon::HasEnded(int* status) {
  if (pid_ > 0 && ::waitpid(pid_, status, WNOHANG) == pid_) {
    pid_ = 0;
  }
  return pid_ == 0;
}

bool Daemon::IsReady() const {
  Socket socket = Connect(health_port_);
  if (!socket.is_open() ||
      !socket.Send("GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n")) {
    return false;
  }
  socket.SetReadTimeout(Millis(1000));
  const auto answer = socket.ReadMessage();
  return answer && answer->Status() == 200;
}

bool Daemon::Shows(const std::string& line) const {
  Socket socket = Connect(health_port_);
  socket.Send("GET /metrics HTTP/1.1\r\nHost: platform\r\n\r\n");
  socket.SetReadTimeout(Millis(1000));
  const auto answer = socket.ReadMessage();
  return answer && answer->body.find(line + '\n') != std::string::npos;
}

std::size_t Daemon::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  file >> total >> resident;
  return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

}  // namespace lynxglade::review
