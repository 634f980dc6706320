#include "main/ctl_render.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "main/ctl_table.h"

namespace lynxglade::ctl {
namespace {

using nlohmann::json;

struct Column {
  const char* heading;
  // JSON pointer of the value within a row.
  const char* pointer;
};

std::string Join(const json& array);

std::string TextOf(const json& value) {
  if (value.is_string()) {
    const std::string text = value.get<std::string>();
    return text.empty() ? "-" : text;
  }
  if (value.is_null()) {
    return "-";
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  return value.is_array() ? Join(value) : value.dump();
}

std::string Join(const json& array) {
  std::string text;
  for (const json& it : array) {
    text += (text.empty() ? "" : ",") + TextOf(it);
  }
  return text.empty() ? "-" : text;
}

const json& At(const json& row, const char* pointer) {
  static const json absent;
  const json::json_pointer path(pointer);
  return row.is_structured() && row.contains(path) ? row.at(path) : absent;
}

// The elements of an array or values of an object that are objects themselves.
std::vector<json> Rows(const json& value) {
  std::vector<json> rows;
  if (value.is_structured()) {
    std::copy_if(value.begin(), value.end(), std::back_inserter(rows),
                 [](const json& it) { return it.is_object(); });
  }
  return rows;
}

std::string Table(const json& value, const std::vector<Column>& columns) {
  Row header;
  std::ranges::transform(columns, std::back_inserter(header), &Column::heading);
  std::vector<Row> cells;
  for (const json& row : Rows(value)) {
    Row& line = cells.emplace_back();
    std::ranges::transform(
        columns, std::back_inserter(line),
        [&](const Column& it) { return TextOf(At(row, it.pointer)); });
  }
  return FormatTable(header, cells);
}

std::string Line(const char* name, const json& value) {
  return std::string(name) + ": " + TextOf(value) + "\n";
}

// Formats the desired, ordered or observed state of an engine.
std::string StateText(const json& state) {
  if (!state.is_object()) {
    return "-";
  }
  std::string text = TextOf(At(state, "/role")) + " " +
                     TextOf(At(state, "/model")) + "@" +
                     TextOf(At(state, "/version"));
  if (At(state, "/draining") == true) {
    text += " draining";
  }
  const std::string phase = TextOf(At(state, "/phase"));
  return phase == "-" ? text : text + " (" + phase + ")";
}

std::string Shares(const json& services) {
  std::string text;
  for (const json& it : Rows(services)) {
    text += "\nshares of " + TextOf(At(it, "/service")) + ": " +
            TextOf(At(it, "/engines")) + " targets, sum " +
            TextOf(At(it, "/sum")) + ", free " +
            TextOf(At(it, "/free_engines")) + "; other contracts: share " +
            TextOf(At(it, "/others/share")) + ", " +
            TextOf(At(it, "/others/engines")) + " engines\n" +
            Table(At(it, "/lines"), {{"CONTRACT", "/contract"},
                                     {"MODEL", "/model"},
                                     {"VERSION", "/version"},
                                     {"SHARE", "/share"},
                                     {"ENGINES", "/engines"}});
  }
  return text;
}

}  // namespace

std::string RenderPlan(const json& body) {
  std::string text =
      Line("plan", At(body, "/id")) + Line("base revision", At(body, "/base")) +
      Line("stated by", At(body, "/stated_by")) +
      Line("note", At(body, "/note")) + "\n" +
      Table(
          At(body, "/changes"),
          {{"CHANGE", "/kind"}, {"WHAT", "/subject"}, {"REASON", "/reason"}}) +
      Shares(At(body, "/shares"));
  text += "\nengines touched (estimate):\n" +
          Table(At(body, "/engines_touched"), {{"TARGET", "/target"},
                                               {"FROM", "/from/model"},
                                               {"VERSION", "/from/version"},
                                               {"TO", "/to/model"},
                                               {"VERSION", "/to/version"}});
  text += Line("cost in engine-seconds", At(body, "/cost_engine_seconds"));
  for (const json& it : At(body, "/warnings")) {
    text += Line("warning", it);
  }
  return text + "\nNothing is in force yet. To put it in force:\n  " +
         "lynxgladectl confirm " + TextOf(At(body, "/id")) + "\n";
}

std::string RenderPlans(const json& body) {
  return Table(At(body, "/plans"), {{"PLAN", "/id"},
                                    {"BASE", "/base"},
                                    {"CAN CONFIRM", "/can_confirm"},
                                    {"CHANGES", "/changes"},
                                    {"STATED BY", "/stated_by"},
                                    {"NOTE", "/note"}});
}

std::string RenderConfirmed(const json& body) {
  return TextOf(At(body, "/result")) + " at revision " +
         TextOf(At(body, "/revision")) + "\n";
}

std::string RenderConfig(const json& body) {
  std::string text =
      Line("revision", At(body, "/revision")) + "\n" +
      Table(At(body, "/services"), {{"SERVICE", "/name"},
                                    {"ENGINES", "/engines"},
                                    {"ROLE CHANGE PRICE", "/role_change_price"},
                                    {"PLANNER", "/planner_enabled"}});
  text += "\n" + RenderContracts(body);
  if (body.contains("operators")) {
    text += "\n" + Table(At(body, "/operators"), {{"OPERATOR", "/id"},
                                                  {"ROLE", "/role"},
                                                  {"CONTRACTS", "/contracts"},
                                                  {"KEYS", "/key_hashes"}});
  }
  return text;
}

std::string RenderStatus(const json& body) {
  return Line("revision", At(body, "/revision")) +
         Line("newest heard of", At(body, "/newest_heard")) +
         Line("ready", At(body, "/ready")) +
         Line("service is behind", At(body, "/service_is_behind")) +
         Line("forked", At(body, "/forked")) + "\n" +
         Table(At(body, "/instances"), {{"INSTANCE", "/instance"},
                                        {"REVISION", "/revision"},
                                        {"AGE MS", "/age_ms"},
                                        {"FORKED", "/forked"}});
}

std::string RenderContracts(const json& body) {
  json rows = json::array();
  for (const json& contract : Rows(At(body, "/contracts"))) {
    const std::vector<json> intents = Rows(At(contract, "/intents"));
    for (const json& intent : intents) {
      json row = intent;
      row["id"] = At(contract, "/id");
      row["deadline"] = At(contract, "/default_deadline_ms");
      rows.push_back(std::move(row));
    }
    if (intents.empty()) {
      rows.push_back(contract);
    }
  }
  return Table(rows, {{"CONTRACT", "/id"},
                      {"SERVICE", "/service"},
                      {"MODEL", "/model"},
                      {"VERSION", "/version"},
                      {"ADAPTERS", "/adapters"},
                      {"SHARE", "/share"},
                      {"PRIORITY", "/priority"},
                      {"DEADLINE MS", "/deadline"}});
}

std::string RenderAudit(const json& body) {
  json rows = json::array();
  for (const json& audit : Rows(At(body, "/audit"))) {
    json row = audit;
    std::string text;
    for (const json& it : Rows(At(audit, "/changes"))) {
      text += (text.empty() ? "" : " | ") + TextOf(At(it, "/kind")) + " " +
              TextOf(At(it, "/subject")) + ": " + TextOf(At(it, "/reason"));
    }
    row["text"] = text;
    rows.push_back(std::move(row));
  }
  return Table(rows, {{"REVISION", "/revision"},
                      {"AT MS", "/at_ms"},
                      {"CONFIRMED BY", "/confirmed_by"},
                      {"STATED BY", "/stated_by"},
                      {"NOTE", "/note"},
                      {"CHANGES", "/text"}});
}

std::string RenderFleet(const json& body) {
  std::string text =
      Table(At(body, "/authority"), {{"ZONE", "/zone"},
                                     {"SHARD", "/shard"},
                                     {"LEASE", "/lease"},
                                     {"HOLDER", "/holder"},
                                     {"FENCE", "/fence"},
                                     {"LAPSES IN MS", "/lapses_in_ms"}});
  json rows = json::array();
  for (const json& engine : Rows(At(body, "/engines"))) {
    json row = engine;
    row["intended"] = StateText(At(engine, "/intended"));
    row["ordered"] = StateText(At(engine, "/ordered"));
    row["seen"] = StateText(At(engine, "/observed"));
    row["holder"] = At(engine, "/ordered/holder");
    rows.push_back(std::move(row));
  }
  return text + "\n" +
         Table(rows, {{"ENGINE", "/id"},
                      {"SERVICE", "/service"},
                      {"ZONE", "/zone"},
                      {"STATE", "/state"},
                      {"INTENDED", "/intended"},
                      {"ORDERED", "/ordered"},
                      {"OBSERVED", "/seen"},
                      {"ORDERED BY", "/holder"},
                      {"STEP", "/step"},
                      {"WHY", "/reason"},
                      {"OVERDUE", "/overdue"}});
}

std::string RenderInstances(const json& body) {
  return Line("seen by", At(body, "/instance")) + "\n" +
         Table(At(body, "/instances"), {{"INSTANCE", "/id"},
                                        {"ZONE", "/zone"},
                                        {"ADDRESS", "/address"},
                                        {"PEER PORT", "/peer_port"},
                                        {"STATE", "/state"},
                                        {"LINKED", "/linked"}});
}

std::string RenderQuarantine(const json& body) {
  return Table(At(body, "/quarantine"), {{"CONTENT", "/content"},
                                         {"QUARANTINED", "/quarantined"},
                                         {"CRASHED", "/crashed"},
                                         {"EXPIRES IN MS", "/expires_in_ms"}});
}

std::string RenderCheck(const json& body) {
  return Table(At(body, "/settings"),
               {{"SETTING", "/name"}, {"VALUE", "/value"}}) +
         "\n" +
         Table(At(body, "/services"), {{"SERVICE", "/name"},
                                       {"REACHABLE", "/reachable"},
                                       {"REASON", "/reason"}});
}

std::string RenderObject(const json& body) {
  std::string text;
  for (const auto& [name, value] : body.items()) {
    text += Line(name.c_str(), value);
  }
  return text;
}

std::string RenderError(int status, const json& body) {
  std::string text = "HTTP " + std::to_string(status) + ": " +
                     TextOf(At(body, "/error/code")) + ": " +
                     TextOf(At(body, "/error/message"));
  const std::string where = TextOf(At(body, "/error/where"));
  if (where != "-") {
    text += " (at " + where + ")";
  }
  text += "\n";
  if (body.is_object() && body.contains("changed_since")) {
    text +=
        "changed since:\n" + RenderAudit({{"audit", body.at("changed_since")}});
  }
  return text;
}

}  // namespace lynxglade::ctl
