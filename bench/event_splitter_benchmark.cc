// Time that the relay spends on one piece of a stream of events, by the number
// of events in it, and on an event that arrives in many pieces.

#include <cstddef>
#include <string>

#include <benchmark/benchmark.h>

#include "request/passthrough/event_splitter.h"

namespace lynxglade::request::passthrough {
namespace {

constexpr std::size_t kMaxHeldBytes = std::size_t{256} * 1024;
constexpr std::size_t kPieceBytes = 8192;

std::string Event(int id, std::size_t data_bytes) {
  return "id: " + std::to_string(id) +
         "\ndata: " + std::string(data_bytes, 'x') + "\n\n";
}

void FeedWholeEvents(benchmark::State& state) {
  constexpr std::size_t kDataBytes = 75;
  std::string piece;
  for (int id = 1; id <= state.range(0); ++id) {
    piece += Event(id, kDataBytes);
  }
  EventSplitter events(kMaxHeldBytes);
  for (auto _ : state) {
    benchmark::DoNotOptimize(events.Feed(piece));
  }
  state.SetBytesProcessed(state.iterations() *
                          static_cast<std::int64_t>(piece.size()));
}
BENCHMARK(FeedWholeEvents)->Arg(1)->Arg(10)->Arg(80);

void FeedEventInPieces(benchmark::State& state) {
  const std::string event =
      Event(1, static_cast<std::size_t>(state.range(0)) * kPieceBytes);
  EventSplitter events(kMaxHeldBytes);
  for (auto _ : state) {
    for (std::size_t at = 0; at < event.size(); at += kPieceBytes) {
      benchmark::DoNotOptimize(events.Feed(event.substr(at, kPieceBytes)));
    }
  }
  state.SetBytesProcessed(state.iterations() *
                          static_cast<std::int64_t>(event.size()));
}
BENCHMARK(FeedEventInPieces)->Arg(2)->Arg(16);

}  // namespace
}  // namespace lynxglade::request::passthrough

BENCHMARK_MAIN();
