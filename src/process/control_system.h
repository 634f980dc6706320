// The process's CAF actor system, for the control plane.
#ifndef LYNXGLADE_PROCESS_CONTROL_SYSTEM_H_
#define LYNXGLADE_PROCESS_CONTROL_SYSTEM_H_

#include <memory>

namespace caf {
// The library's name. NOLINTNEXTLINE(readability-identifier-naming)
class actor_system;
}  // namespace caf

namespace lynxglade::process {

// Owns one actor system with a few workers and the "sharing" scheduler: idle
// workers sleep, where the default policy polls. Actors on it must not block.
// One a process, made before and destroyed after everything that spawns on
// it; destruction waits for all actors to end.
class ControlSystem {
 public:
  explicit ControlSystem(int threads = 2);
  ~ControlSystem();
  ControlSystem(const ControlSystem&) = delete;
  ControlSystem& operator=(const ControlSystem&) = delete;

  caf::actor_system& actors() noexcept;

 private:
  struct Details;
  std::unique_ptr<Details> details_;
};

}  // namespace lynxglade::process

#endif  // LYNXGLADE_PROCESS_CONTROL_SYSTEM_H_
