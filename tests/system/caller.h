// A caller of the system, which proves from what it receives whether the
// answer is whole, its own, and each token there once.
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
  // Made up when empty; unique over the test's run.
  std::string id;
  std::string prompt = "a prompt";
  int max_tokens = 32;
  bool stream = true;
  // Not empty: the call is non-idempotent under this key.
  std::string key;
  // Not empty: a call of this plain service instead of a chat.
  std::string plain_service;
  std::string contract = "archive";
  std::chrono::milliseconds deadline{20'000};
  // Called with the text so far, on the caller's thread.
  std::function<void(const std::string& text)> on_text;
};

enum class Verdict {
  kWhole,
  // Answered with an error of the system: see code and outcome.
  kRefused,
  // A part of the right answer came, then an error or the end.
  kCut,
  // Anything that is not a part of the right answer.
  kWrong,
  // No answer at all: connection refused or closed.
  kLost,
};

struct Reply {
  std::string id;
  Verdict verdict = Verdict::kLost;
  int status = 0;
  // For a plain service the body.
  std::string text;
  std::string code;
  std::string outcome;
};
// For assertions' messages.
std::ostream& operator<<(std::ostream& out, const Reply& reply);

// Blocks until the answer or its end.
Reply Send(int port, Call call);

// Callers that call one after the other, each at any of the instances that
// say they are ready, as behind the platform's balancer.
class Load {
 public:
  struct Entry {
    int port = 0;
    int admin_port = 0;
  };
  // Gives the n-th call of all.
  using Make = std::function<Call(int n)>;

  Load(int callers, std::function<std::vector<Entry>()> entries, Make make);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  // Lets the calls under way end and returns all replies.
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

// How many of the replies ended so.
int Count(const std::vector<Reply>& replies, Verdict verdict);

}  // namespace lynxglade::system_test

#endif  // LYNXGLADE_SYSTEM_CALLER_H_
