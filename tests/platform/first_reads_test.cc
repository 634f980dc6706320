// First readings of prompts against the fleet's bound on arrivals beyond the
// first of each request.
#include <algorithm>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "platform/relay_fixture.h"

namespace lynxglade::platform {
namespace {

using connection::ScriptedServer;
using request::passthrough::EngineStage;
using request::passthrough::RetryAllowanceOptions;
using Then = ScriptedServer::Then;

// The load this answers: engines that crash in series and come back with
// another stage reject the prompts that they are to read. The first reading of
// a prompt is no arrival beyond the first if it is accepted, so it is charged
// only once it was rejected: 1,036 such arrivals in ten seconds, 1,035 allowed.
TEST_F(RelayTest, RejectedFirstReadingsKeepToTheBound) {
  constexpr int kReaders = 80;
  constexpr int kRequests = 40;
  std::vector<ScriptedServer*> readers;
  for (int i = 0; i < kReaders; ++i) {
    readers.push_back(&AddTarget(NotRun, EngineStage::kPrefill));
  }
  AddTarget([](const std::string& request) {
    return Stream(request, 1, 2, Then::kKeep);
  });
  for (int i = 0; i < kRequests; ++i) {
    const std::string number = std::to_string(i);
    const std::string prompt =
        "Lynxglade-Model: m\r\nLynxglade-Token-Usage: 17020,13\r\n"
        "Lynxglade-Prefix-Hash: a" +
        number + ":13300,b" + number + ":3720\r\n";
    EXPECT_TRUE(Call(Request("/stream/x", prompt, "r" + number))
                    .ends_with("0\r\n\r\n"));
  }
  std::size_t rejected = 0;
  for (const ScriptedServer* reader : readers) {
    rejected += reader->requests().size();
  }
  const RetryAllowanceOptions bound;
  EXPECT_LE(static_cast<double>(rejected),
            bound.ratio * kRequests + bound.allowance);
}

}  // namespace
}  // namespace lynxglade::platform
