// A caller of the system that checks each response: it must be complete, belong
// to the request and contain each token exactly once.
#ifndef LYNXGLADE_SYSTEM_CALLER_H_
#define LYNXGLADE_SYSTEM_CALLER_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lynxglade::system_test {

struct Call {
  // Generated when empty; unique within the test process.
  std::string id;
  std::string prompt = "a prompt";
  int max_tokens = 32;
  bool stream = true;
  // If not empty, the call is non-idempotent with this idempotency key.
  std::string key;
  // If not empty, calls this plain service instead of the chat endpoint.
  std::string plain_service;
  std::string contract = "archive";
  std::chrono::milliseconds deadline{20'000};
  // Called with the text received so far, on the caller's thread.
  std::function<void(const std::string& text)> on_text;
};

enum class Verdict {
  kWhole,
  // An error response of the system; see `code` and `outcome`.
  kRefused,
  // A prefix of the expected response, followed by an error or the end.
  kCut,
  // Not a prefix of the expected response.
  kWrong,
  // No response: connection refused or closed.
  kLost,
};

struct Reply {
  std::string id;
  Verdict verdict = Verdict::kLost;
  int status = 0;
  // The body, for a plain service.
  std::string text;
  std::string code;
  std::string outcome;
};
// For messages of assertions.
std::ostream& operator<<(std::ostream& out, const Reply& reply);

// Blocks until the response ends.
Reply Send(int port, Call call);

// Concurrent callers, each of which sends calls sequentially to random
// instances that report ready, as behind a load balancer.
class Load {
 public:
  struct Entry {
    int port = 0;
    int admin_port = 0;
  };
  // Returns the n-th call over all callers.
  using Make = std::function<Call(int n)>;

  Load(int callers, std::function<std::vector<Entry>()> entries, Make make);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Waits for in-flight calls to end and returns all replies.
  std::vector<Reply> Stop();
  int ended() const noexcept { return ended_; }
  int whole() const noexcept { return whole_; }

 private:
  void WatchReadiness();
  void CallOn(unsigned seed);

  const std::function<std::vector<Entry>()> entries_;
  const Make make_;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> watching_{true};
  std::atomic<int> next_{0};
  std::atomic<int> ended_{0};
  std::atomic<int> whole_{0};
  std::mutex mutex_;
  std::vector<int> ready_;
  std::vector<Reply> replies_;
  std::thread watcher_;
  std::vector<std::thread> callers_;
};

// Number of replies with this verdict.
int Count(const std::vector<Reply>& replies, Verdict verdict);

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_CALLER_H_
