#include "rig/records.h"

#include <fstream>
#include <map>

#include <nlohmann/json.hpp>

namespace lynxglade::rig {

namespace {

using nlohmann::json;

Arrival ParseArrival(const json& line) {
  Arrival arrival;
  arrival.attempt = line.at("attempt");
  arrival.service = line.at("service");
  arrival.engine = line.at("engine");
  arrival.at = base::Time(base::Duration(line.at("at").get<std::int64_t>()));
  arrival.timeout = std::chrono::milliseconds(line.at("timeout_ms"));
  arrival.prefill_only = line.at("prefill");
  arrival.content = line.at("content");
  arrival.events = line.at("events");
  arrival.until_close = line.at("until_close");
  return arrival;
}

ArrivalEnd ParseEnd(const std::string& word) {
  if (word == "rejected") {
    return ArrivalEnd::kRejected;
  }
  if (word == "prefilled") {
    return ArrivalEnd::kPrefilled;
  }
  return word == "lost" ? ArrivalEnd::kLost : ArrivalEnd::kRan;
}

AnswerEnding ParseEnding(const std::string& word) {
  if (word == "whole") {
    return AnswerEnding::kWhole;
  }
  if (word == "cut") {
    return AnswerEnding::kCut;
  }
  if (word == "cut_between") {
    return AnswerEnding::kCutBetween;
  }
  return word == "reset" ? AnswerEnding::kReset : AnswerEnding::kUnknown;
}

}  // namespace

void ReadJournal(const std::filesystem::path& journal,
                 std::vector<Arrival>* arrivals) {
  std::ifstream in(journal);
  std::map<std::int64_t, std::size_t> by_number;
  for (std::string text; std::getline(in, text);) {
    const json line = json::parse(text, nullptr, false);
    if (!line.is_object()) {
      continue;
    }
    const std::int64_t number = line.at("n");
    if (line.contains("attempt")) {
      by_number[number] = arrivals->size();
      arrivals->push_back(ParseArrival(line));
      continue;
    }
    Arrival& arrival = arrivals->at(by_number.at(number));
    const std::string word = line.at("end");
    arrival.crashed = arrival.crashed || word == "crashed";
    if (const AnswerEnding ending = ParseEnding(word);
        ending != AnswerEnding::kUnknown) {
      arrival.ending = ending;
    }
    // What ran stays so, whatever becomes of it.
    if (arrival.end != ArrivalEnd::kRan) {
      arrival.end = ParseEnd(word);
    }
  }
}

}  // namespace lynxglade::rig
