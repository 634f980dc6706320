#include "load/journals.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <map>
#include <optional>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lynxglade::bench {

namespace {

using nlohmann::json;

std::optional<json> Fetch(const Endpoint& target) {
  httplib::Client client(target.address, target.port);
  client.set_connection_timeout(std::chrono::seconds(2));
  client.set_read_timeout(std::chrono::seconds(10));
  const httplib::Result answer = client.Get("/journal");
  if (!answer || answer->status != 200) {
    return std::nullopt;
  }
  json parsed = json::parse(answer->body, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return std::nullopt;
  }
  return parsed;
}

// The prefill part of a split request generates one token; the decode part is
// counted as the run of the request.
constexpr std::int64_t kPrefillHalfTokens = 1;

bool IsRun(const json& run) {
  return run.value("ran", true) &&
         run.value("max_tokens", std::int64_t{0}) != kPrefillHalfTokens;
}

// Adds the runs of one fake to the run count of each request.
void CountRuns(const json& journal, std::map<std::string, int>* runs) {
  for (const json& run : journal.value("runs", json::array())) {
    if (IsRun(run)) {
      ++(*runs)[run.value("request_id", std::string())];
    }
  }
}

std::uint64_t CountRoleChanges(const json& journal) {
  const json orders = journal.value("orders", json::array());
  return static_cast<std::uint64_t>(
      std::ranges::count_if(orders, [](const json& order) {
        return order.value("accepted", false) && order.value("outage", false);
      }));
}

// Returns the single journal, or the list that a control port serves.
json JournalsOf(const json& answer) {
  return answer.value("journals", json::array({answer}));
}

}  // namespace

JournalFindings ReadJournals(const std::vector<Endpoint>& targets,
                             const std::vector<TraceItem>& trace,
                             const std::set<std::string>& not_run) {
  JournalFindings findings;
  std::map<std::string, int> runs;
  for (const Endpoint& target : targets) {
    const std::optional<json> journal = Fetch(target);
    if (!journal) {
      ++findings.unread;
      continue;
    }
    for (const json& one : JournalsOf(*journal)) {
      ++findings.read;
      CountRuns(one, &runs);
      findings.role_changes += CountRoleChanges(one);
    }
  }
  for (const auto& [id, n] : runs) {
    findings.runs += static_cast<std::uint64_t>(n);
  }
  const auto runs_of = [&](const std::string& id) {
    const auto it = runs.find(id);
    return it == runs.end() ? 0 : it->second;
  };
  findings.non_idempotent_doubled = static_cast<std::uint64_t>(
      std::ranges::count_if(trace, [&](const TraceItem& item) {
        return item.non_idempotent && runs_of(item.id.str()) > 1;
      }));
  std::ranges::copy_if(not_run, std::back_inserter(findings.untrue_not_run_ids),
                       [&](const std::string& id) { return runs_of(id) > 0; });
  findings.untrue_not_run = findings.untrue_not_run_ids.size();
  return findings;
}

}  // namespace lynxglade::bench
