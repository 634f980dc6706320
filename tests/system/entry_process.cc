#include "system/entry_process.h"

#include <filesystem>
#include <stdexcept>
#include <utility>

#include <gtest/gtest.h>

#include "connection/raw_client.h"
#include "connection/scripted_server.h"

namespace lynxglade::system_test {

namespace {

using connection::ScriptedServer;
using tests::RawClient;

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

std::string Send(int port, const std::string& request) {
  try {
    RawClient client(port);
    client.Send(request);
    return client.ReadToEnd();
  } catch (const std::runtime_error&) {
    return {};
  }
}

std::string Head(const std::string& start, const std::string& id) {
  return start + " HTTP/1.1\r\nHost: h\r\nLynxglade-Attempt-Id: " + id +
         "\r\nLynxglade-Deadline-Ms: 5000\r\nConnection: close\r\n";
}

}  // namespace

int FreePort() {
  return ScriptedServer(
             [](const std::string&) { return ScriptedServer::Reply{}; })
      .port();
}

bool IsStatus(const std::string& answer, const std::string& status) {
  return answer.starts_with("HTTP/1.1 " + status);
}

std::string TargetEntry(int port) {
  return R"({"backend":"s","address":")" + Address(port) +
         R"(","zone":"a","version":"v1","slots":8,"phase":"ready",)"
         R"("coldRemainingMs":0,"sequence":1})";
}

std::string AnswerLines(const std::string& request) {
  const std::string name = "Lynxglade-Attempt-Id: ";
  const std::size_t at = request.find(name) + name.size();
  return name + request.substr(at, request.find("\r\n", at) - at) +
         "\r\nLynxglade-Instance-Signature: s\r\n";
}

EntryProcess::EntryProcess(int number, int store_port)
    : EntryProcess({.name = "i" + std::to_string(number),
                    .store_port = store_port,
                    .port = FreePort(),
                    .health_port = FreePort(),
                    .peer_port = FreePort(),
                    .folder = testing::TempDir()}) {}

EntryProcess::EntryProcess(EntryProcessSettings settings)
    : settings_(std::move(settings)) {
  Restart();
}

void EntryProcess::Restart() {
  std::vector<std::string> arguments{
      DaemonProgram(LYNXGLADED),
      "entry",
      "--instance-id",
      settings_.name,
      "--zone",
      settings_.zone,
      "--listen",
      Address(settings_.port),
      "--health-listen",
      Address(settings_.health_port),
      "--peer-listen",
      Address(settings_.peer_port),
      "--store=" + Address(settings_.store_port)};
  arguments.insert(arguments.end(), settings_.flags.begin(),
                   settings_.flags.end());
  const std::string log = "entry-process-" + std::to_string(settings_.port) +
                          '-' + std::to_string(lifetimes_++);
  process_.emplace(std::move(arguments), settings_.folder / log);
}

std::string EntryProcess::Get(const std::string& path) const {
  return Send(settings_.port, Head("GET " + path, "r1") + "\r\n");
}

std::string EntryProcess::Post(const std::string& path,
                               const std::string& id,
                               const std::string& body,
                               const std::string& headers) const {
  return Send(settings_.port,
              Head("POST " + path, id) + headers + "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

bool EntryProcess::Shows(const std::string& line) const {
  return Send(settings_.health_port, Head("GET /metrics", "r1") + "\r\n")
             .find(line + "\n") != std::string::npos;
}

}  // namespace lynxglade::system_test
