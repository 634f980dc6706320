#include "review/stand_ins/target.h"

#include <thread>
#include <utility>

#include <nlohmann/json.hpp>

namespace lynxglade::review {

namespace {

// Requests that wait for a slot, in multiples of the slots.
constexpr int kQueueFactor = 8;

}  // namespace

Target::Target(TargetSettings settings, Record& record)
    : settings_(std::move(settings)),
      record_(record),
      server_(0, [this](const Message& request) { return Handle(request); }) {}

std::string Target::Entry(int cold_ms) const {
  return nlohmann::json{
      {"backend", settings_.service},
      {"address", "127.0.0.1:" + std::to_string(server_.port())},
      {"zone", settings_.zone},
      {"version", "v1"},
      {"slots", settings_.slots},
      {"phase", "ready"},
      {"coldRemainingMs", cold_ms},
      {"sequence", 1}}
      .dump();
}

void Target::End() {
  ended_ = true;
  server_.End();
  record_.Write("target " + settings_.id + " exited");
}

std::vector<TargetRun> Target::Runs() {
  const std::lock_guard lock(mutex_);
  return runs_;
}

std::optional<std::string> Target::Handle(const Message& request) {
  const std::string id = request.Header("lynxglade-attempt-id");
  const std::string load =
      std::to_string(std::min<int>(running_, settings_.slots)) + "," +
      std::to_string(std::max(0, running_ - settings_.slots)) + "," +
      std::to_string(settings_.slots);
  const std::string common = "Lynxglade-Attempt-Id: " + id +
                             "\r\nLynxglade-Instance-Load: " + load + "\r\n";
  const std::string expected = request.Header("lynxglade-expect-instance");
  if (!expected.empty() && expected != settings_.id) {
    return Answer(
        421, common + "Lynxglade-Instance-Id: " + settings_.id + "\r\n", {});
  }
  if (request.start.starts_with("GET /healthz")) {
    return Answer(
        200, common + "Lynxglade-Instance-Id: " + settings_.id + "\r\n", {});
  }
  if (running_ >= settings_.slots * kQueueFactor) {
    return Answer(503, common + "Lynxglade-Not-Executed: 1\r\n", {});
  }
  std::size_t run = 0;
  {
    const std::lock_guard lock(mutex_);
    run = runs_.size();
    runs_.push_back({.id = id, .began = record_.Now()});
  }
  record_.Write("target " + settings_.id + " runs " + id);
  ++running_;
  std::this_thread::sleep_for(settings_.work);
  --running_;
  if (ended_) {
    record_.Write("target " + settings_.id + " broke off " + id);
    return std::nullopt;
  }
  {
    const std::lock_guard lock(mutex_);
    runs_[run].done = true;
  }
  return Answer(200,
                common + "Lynxglade-Instance-Signature: " + settings_.id + "." +
                    id + "\r\n",
                "answer of " + settings_.id + " to " + id);
}

}  // namespace lynxglade::review
