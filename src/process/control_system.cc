#include "process/control_system.h"

#include <algorithm>

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>

namespace lynxglade::process {

namespace {

// Sets CAF options in code; flags and configuration files are not read.
struct Config : caf::actor_system_config {
  explicit Config(int threads) {
    set("scheduler.policy", caf::atom("sharing"));
    set("scheduler.max-threads",
        static_cast<std::size_t>(std::max(threads, 1)));
  }
};

}  // namespace

struct ControlSystem::Details {
  explicit Details(int threads) : config(threads), system(config) {}

  Config config;
  caf::actor_system system;
};

ControlSystem::ControlSystem(int threads)
    : details_(std::make_unique<Details>(threads)) {}
ControlSystem::~ControlSystem() = default;

caf::actor_system& ControlSystem::actors() noexcept {
  return details_->system;
}

}  // namespace lynxglade::process
