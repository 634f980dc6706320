// Simulated time for code that waits with Asio's timers.
//
// A test program that links this reads std::chrono::steady_clock from here: it
// stands still but for AdvanceTime(). The base::Time of SimulatedNow() advances
// with it.
#ifndef LYNXGLADE_TESTS_PROCESS_SIMULATED_TIME_H_
#define LYNXGLADE_TESTS_PROCESS_SIMULATED_TIME_H_

#include "base/time.h"
#include "connection/event/http_types.h"

namespace lynxglade::process {

base::Time SimulatedNow();

// Runs the loop's handlers and expired timers, over `time` in small steps.
void AdvanceTime(connection::event::asio::io_context& loop,
                 base::Duration time);

}  // namespace lynxglade::process

#endif  // LYNXGLADE_TESTS_PROCESS_SIMULATED_TIME_H_
