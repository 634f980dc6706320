#include "connection/event/tasks.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include "base/log.h"
#include "base/scope_exit.h"
#include "connection/event/sleep.h"

namespace lynxglade::connection::event {

namespace {

struct PermanentTask {
  asio::io_context& loop;
  std::string name;
  std::function<Awaitable<void>()> make;
  RestartOptions options;
  base::Duration delay{};
  bool done = false;
};

void Start(const std::shared_ptr<PermanentTask>& task);

// A handler that throws destroys the task that it would have resumed, which
// then neither returns nor sees the exception.
void StartUnlessDone(const std::shared_ptr<PermanentTask>& task) noexcept {
  if (task->done || task->loop.stopped()) {
    return;
  }
  try {
    asio::post(task->loop, [task] { Start(task); });
  } catch (const std::exception&) {
    LogFailure(task->name, std::current_exception());
  }
}

Awaitable<void> RunPermanent(std::shared_ptr<PermanentTask> task) {
  const base::ScopeExit restart([&task] { StartUnlessDone(task); });
  if (task->delay > base::Duration::zero()) {
    co_await SleepFor(task->loop, task->delay);
  }
  task->delay = std::clamp(2 * task->delay, task->options.min_delay,
                           task->options.max_delay);
  try {
    co_await task->make();
    task->done = true;
  } catch (const std::exception&) {
    LogFailure(task->name, std::current_exception());
  }
}

void Start(const std::shared_ptr<PermanentTask>& task) {
  Spawn(task->loop, task->name, RunPermanent(task));
}

}  // namespace

void LogFailure(std::string_view name, const std::exception_ptr& failure) {
  if (!failure) {
    return;
  }
  std::string reason = "not a standard exception";
  try {
    std::rethrow_exception(failure);
  } catch (const std::exception& error) {
    reason = error.what();
  } catch (...) {  // NOLINT(bugprone-empty-catch): `reason` says it.
  }
  base::Log(base::LogLevel::kError, "task_failed",
            {{"task", name}, {"reason", reason}});
}

void Spawn(asio::io_context& loop,
           std::string name,
           Awaitable<void> task,
           std::function<void()> on_end) {
  asio::co_spawn(loop, std::move(task),
                 [name = std::move(name), on_end = std::move(on_end)](
                     const std::exception_ptr& failure) {
                   LogFailure(name, failure);
                   if (on_end) {
                     on_end();
                   }
                 });
}

void SpawnPermanent(asio::io_context& loop,
                    std::string name,
                    std::function<Awaitable<void>()> make,
                    RestartOptions options) {
  Start(std::make_shared<PermanentTask>(
      PermanentTask{loop, std::move(name), std::move(make), options}));
}

void RunLoop(asio::io_context& loop) {
  bool ended = false;
  while (!ended) {
    try {
      loop.run();
      ended = true;
    } catch (...) {
      LogFailure("handler", std::current_exception());
    }
  }
}

// The second shutdown drops what destructors have posted during the first.
void EventLoop::EndTasks() {
  shutdown();
  shutdown();
}

}  // namespace lynxglade::connection::event
