// Runs an event loop on its own thread, for tests that use blocking clients.
#ifndef LYNXGLADE_TESTS_CONNECTION_EVENT_LOOP_THREAD_H_
#define LYNXGLADE_TESTS_CONNECTION_EVENT_LOOP_THREAD_H_

#include <functional>
#include <future>
#include <thread>
#include <type_traits>

#include "connection/event/http_types.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

namespace lynxglade::connection::event {

class LoopThread {
 public:
  explicit LoopThread(asio::io_context& loop)
      : loop_(loop),
        work_(asio::make_work_guard(loop)),
        thread_([&loop] { loop.run(); }) {}
  ~LoopThread() {
    loop_.stop();
    thread_.join();
  }
  LoopThread(const LoopThread&) = delete;
  LoopThread& operator=(const LoopThread&) = delete;

  // Runs `f` on the loop and returns its result.
  template <typename F>
  auto Do(F f) -> std::invoke_result_t<F> {
    std::packaged_task<std::invoke_result_t<F>()> task(std::move(f));
    auto result = task.get_future();
    asio::post(loop_, [&task] { task(); });
    return result.get();
  }

  // Waits until `f`, called on the loop, returns true.
  void Await(const std::function<bool()>& f) {
    while (!Do(f)) {
      std::this_thread::yield();
    }
  }

 private:
  asio::io_context& loop_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_TESTS_CONNECTION_EVENT_LOOP_THREAD_H_
