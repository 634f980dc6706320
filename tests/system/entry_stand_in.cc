// A fake platform for running `lynxgladed entry` on one machine: a store with a
// configuration and target entries, and targets that respond with a stream of
// events.
//
//   entry_stand_in [TARGETS [EVENTS]]
//
// Prints "store ADDRESS" and one line "target ADDRESS" per target, then serves
// until the end of standard input. The configuration routes requests for host
// "demo" below /demo/.
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "connection/scripted_server.h"
#include "system/scripted_store.h"

namespace lynxglade::system_test {
namespace {

using connection::ScriptedServer;

constexpr char kConfiguration[] =
    R"({"version":1,"routes":[{"name":"demo","hostname":"demo",)"
    R"("pathPrefix":"/demo/","type":"streaming","timeoutMs":10000,)"
    R"("backend":"demo","maxAttempts":1}],"services":[{"name":"demo"}]})";

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx", bytes.size());
  return std::string(size) + "\r\n" + bytes + "\r\n";
}

// Sends the complete stream at once, so that the target adds no delay.
ScriptedServer::Reply Stream(const std::string& request, int events) {
  const std::string name = "Lynxglade-Attempt-Id: ";
  const std::size_t at = request.find(name) + name.size();
  std::string bytes = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                      name + request.substr(at, request.find("\r\n", at) - at) +
                      "\r\nLynxglade-Instance-Signature: s\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
  for (int i = 1; i <= events; ++i) {
    bytes += Chunk("id: " + std::to_string(i) + "\ndata: token\n\n");
  }
  return {bytes + "0\r\n\r\n"};
}

int Serve(int targets, int events) {
  ScriptedStore store;
  std::vector<std::unique_ptr<ScriptedServer>> servers;
  std::cout << "store 127.0.0.1:" << store.port() << "\n";
  for (int i = 0; i < targets; ++i) {
    servers.push_back(std::make_unique<ScriptedServer>(
        [events](const std::string& it) { return Stream(it, events); }));
    const std::string address =
        "127.0.0.1:" + std::to_string(servers.back()->port());
    store.Put("servers/t" + std::to_string(i),
              R"({"backend":"demo","address":")" + address +
                  R"(","zone":"a","version":"v1","slots":8,"phase":"ready",)"
                  R"("coldRemainingMs":0,"sequence":1})");
    std::cout << "target " << address << "\n";
  }
  store.Put("op/config", kConfiguration);
  std::cout.flush();
  for (std::string line; std::getline(std::cin, line);) {
  }
  return 0;
}

}  // namespace
}  // namespace lynxglade::system_test

int main(int argc, char** argv) {
  const int targets = argc > 1 ? std::atoi(argv[1]) : 4;
  const int events = argc > 2 ? std::atoi(argv[2]) : 16;
  if (targets < 1 || events < 1) {
    std::cerr << "entry_stand_in [TARGETS [EVENTS]]\n";
    return 2;
  }
  return lynxglade::system_test::Serve(targets, events);
}
