// Tasks on an event loop, and what an exception costs there.
//
// An exception ends the task that it leaves, never the loop: the process serves
// other callers, too. What a task holds is released by its destructors. A task
// that has to run for as long as the process is begun again.
#ifndef LYNXGLADE_CONNECTION_EVENT_TASKS_H_
#define LYNXGLADE_CONNECTION_EVENT_TASKS_H_

#include <exception>
#include <functional>
#include <string>
#include <string_view>

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::connection::event {

// Logs the exception under the name of what it ended. Null is ignored.
void LogFailure(std::string_view name, const std::exception_ptr& failure);

// Starts a task. `name` is for the log line of an exception that ends it;
// `on_end`, which may be empty, is called once it has returned or failed.
void Spawn(asio::io_context& loop,
           std::string name,
           Awaitable<void> task,
           std::function<void()> on_end = {});

struct RestartOptions {
  // Delay before a task is begun again; doubled with each further failure, up
  // to the maximum.
  base::Duration min_delay = std::chrono::milliseconds(100);
  base::Duration max_delay = std::chrono::seconds(2);
};

// Starts the task that `make` returns, and begins it again whenever an
// exception ends it, until it returns or the loop is stopped.
void SpawnPermanent(asio::io_context& loop,
                    std::string name,
                    std::function<Awaitable<void>()> make,
                    RestartOptions options = {});

// Runs the loop until it is stopped or has no work. An exception that leaves a
// handler is logged, and ends the task that the handler would have resumed.
void RunLoop(asio::io_context& loop);

// The event loop of a process.
class EventLoop : public asio::io_context {
 public:
  // For use by one thread.
  EventLoop() : asio::io_context(1) {}

  // Ends all tasks and drops all handlers. What they use must still exist;
  // nothing runs on the loop afterwards.
  void EndTasks();
};

}  // namespace lynxglade::connection::event

#endif  // LYNXGLADE_CONNECTION_EVENT_TASKS_H_
