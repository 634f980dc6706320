#include "load/report.h"

#include <chrono>
#include <cstdio>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

namespace lynxglade::bench {

namespace {

using nlohmann::json;

constexpr double kMillis = 1000;

json QuantilesMs(std::vector<double>* samples) {
  const std::size_t n = samples->size();
  return {{"count", n},
          {"p50_ms", Quantile(samples, 0.50) * kMillis},
          {"p95_ms", Quantile(samples, 0.95) * kMillis},
          {"p99_ms", Quantile(samples, 0.99) * kMillis},
          {"max_ms", Quantile(samples, 1.0) * kMillis}};
}

json CountsJson(const Counts& counts) {
  json out = {{"offered", counts.offered},
              {"worth_offered", counts.worth_offered},
              {"worth_delivered", counts.worth_delivered},
              {"goodput", counts.Goodput()}};
  for (std::size_t i = 0; i < kVerdicts; ++i) {
    out[std::string(ToString(static_cast<Verdict>(i)))] = counts.by_verdict[i];
  }
  return out;
}

std::string Line(const char* format, auto... values) {
  char buf[256];
  std::snprintf(buf, sizeof buf, format, values...);
  return buf;
}

std::string QuantileLine(const char* name, std::vector<double>* samples) {
  const json q = QuantilesMs(samples);
  return Line("%-22s p50 %8.1f   p95 %8.1f   p99 %8.1f   max %8.1f ms  n=%zu\n",
              name, q["p50_ms"].get<double>(), q["p95_ms"].get<double>(),
              q["p99_ms"].get<double>(), q["max_ms"].get<double>(),
              samples->size());
}

std::string MapLines(const char* title,
                     const std::map<std::string, std::uint64_t>& counts) {
  std::string out;
  for (const auto& [name, n] : counts) {
    out += Line("  %-20s %-36s %8llu\n", title, name.c_str(),
                static_cast<unsigned long long>(n));
  }
  return out;
}

}  // namespace

std::string MakeJsonReport(const RunFacts& facts,
                           const JournalFindings& journals,
                           Totals* totals) {
  json contracts = json::object();
  for (const auto& [id, counts] : totals->by_contract) {
    contracts[id.str()] = CountsJson(counts);
  }
  const json report = {
      {"deployment", facts.deployment},
      {"label", facts.label},
      {"seed", facts.seed},
      {"seconds", facts.seconds},
      {"all", CountsJson(totals->all)},
      {"by_contract", contracts},
      {"first_token", QuantilesMs(&totals->first_token_s)},
      {"inter_token", QuantilesMs(&totals->gap_s)},
      {"whole_answer", QuantilesMs(&totals->whole_s)},
      {"refusals", totals->refusals},
      {"refusals_with_retry_time", totals->refusals_with_retry_time},
      {"failures", totals->failures},
      {"failed_requests", totals->failed_requests},
      {"outcomes_of_failed", totals->outcomes},
      {"repeats", totals->repeats},
      {"uncounted_streams", totals->uncounted},
      {"driver",
       {{"worst_send_lag_ms", totals->max_send_lag_s * kMillis},
        {"unsent", totals->unsent}}},
      {"journals",
       {{"read", journals.read},
        {"unread", journals.unread},
        {"runs", journals.runs},
        {"role_changes", journals.role_changes},
        {"non_idempotent_doubled", journals.non_idempotent_doubled},
        {"untrue_ids", journals.untrue_not_run_ids},
        {"untrue_not_run", journals.untrue_not_run}}}};
  return report.dump(2) + "\n";
}

std::string MakeTextReport(const RunFacts& facts,
                           const JournalFindings& journals,
                           Totals* totals) {
  const Counts& all = totals->all;
  const auto n = [&](Verdict verdict) {
    return static_cast<unsigned long long>(all.Of(verdict));
  };
  std::string out = Line(
      "%s  %.0f s  seed %llu  %s\n", facts.deployment.c_str(), facts.seconds,
      static_cast<unsigned long long>(facts.seed), facts.label.c_str());
  out += Line("goodput by worth       %.4f  (%.1f of %.1f)\n", all.Goodput(),
              all.worth_delivered, all.worth_offered);
  for (const auto& [id, counts] : totals->by_contract) {
    out +=
        Line("  %-20s %.4f  (%llu requests)\n", id.str().c_str(),
             counts.Goodput(), static_cast<unsigned long long>(counts.offered));
  }
  out += Line(
      "requests               offered %llu  delivered %llu  late %llu  refused "
      "%llu  cut %llu  broken %llu  lost %llu\n",
      static_cast<unsigned long long>(all.offered), n(Verdict::kDelivered),
      n(Verdict::kLate), n(Verdict::kRefused), n(Verdict::kCut),
      n(Verdict::kBroken), n(Verdict::kLost));
  out += QuantileLine("first token", &totals->first_token_s);
  out += QuantileLine("between tokens", &totals->gap_s);
  out += QuantileLine("whole answer", &totals->whole_s);
  out += MapLines("refused", totals->refusals);
  out += MapLines("failed", totals->failures);
  out += MapLines("outcome told", totals->outcomes);
  out += MapLines("answer to a repeat", totals->repeats);
  out += Line(
      "stand-in journals      read %zu  unread %zu  runs %llu  role changes "
      "%llu\n",
      journals.read, journals.unread,
      static_cast<unsigned long long>(journals.runs),
      static_cast<unsigned long long>(journals.role_changes));
  out += Line(
      "promises               non-idempotent run twice %llu  untrue not_run "
      "%llu\n",
      static_cast<unsigned long long>(journals.non_idempotent_doubled),
      static_cast<unsigned long long>(journals.untrue_not_run));
  out += Line("driver                 worst send lag %.1f ms  unsent %llu\n",
              totals->max_send_lag_s * kMillis,
              static_cast<unsigned long long>(totals->unsent));
  return out;
}

std::string MakePlotRows(const Workload& workload, Totals* totals) {
  std::string out = "# second offered goodput first_token_p95_ms ratio\n";
  for (std::size_t i = 0; i < totals->seconds.size(); ++i) {
    SecondRow& row = totals->seconds[i];
    out +=
        Line("%zu %llu %.4f %.1f %.3f\n", i,
             static_cast<unsigned long long>(row.counts.offered),
             row.counts.Goodput(), Quantile(&row.first_token_s, 0.95) * kMillis,
             RatioAt(workload, std::chrono::seconds(i)));
  }
  return out;
}

}  // namespace lynxglade::bench
