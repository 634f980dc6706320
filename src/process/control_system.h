// The process's CAF actor system, for the control plane.
#ifndef LYNXGLADE_PROCESS_CONTROL_SYSTEM_H_
#define LYNXGLADE_PROCESS_CONTROL_SYSTEM_H_

#include <memory>

namespace caf {
// The library's name. NOLINTNEXTLINE(readability-identifier-naming)
class actor_system;
}  // namespace caf

namespace lynxglade::process {

// Owns the actor system. It uses the "sharing" scheduler, whose idle workers
// sleep; those of the default policy poll. Actors must not block.
//
// Create one per process before everything that spawns actors on it and destroy
// it after; the destructor waits for all actors to end.
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
