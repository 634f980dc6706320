// Human-readable descriptions of configuration changes.
#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "version/plan.h"

namespace lynxglade::version {
namespace {

std::string FormatNumber(double n) {
  return nlohmann::json(n).dump();
}

void AppendClause(std::string* text, const std::string& more) {
  if (!text->empty()) {
    *text += "; ";
  }
  *text += more;
}

template <typename T>
void AppendIfChanged(const char* name,
                     const T& before,
                     const T& after,
                     std::string* text) {
  if (before != after) {
    AppendClause(text, std::string(name) + " " + before + " -> " + after);
  }
}

std::string IntentName(const Intent& intent) {
  return intent.service.str() +
         (intent.model.empty() ? "" : "/" + intent.model.str());
}

std::string DescribeTerms(const Intent& it) {
  return "share " + FormatNumber(it.share) + ", priority " +
         std::to_string(it.priority) +
         (it.version.empty() ? "" : ", version " + it.version.str());
}

std::string Join(const std::vector<std::string>& parts) {
  std::string text = "[";
  for (const std::string& it : parts) {
    text += (text.size() > 1 ? "," : "") + it;
  }
  return text + "]";
}

const Intent* FindIntent(const Contract& contract, const Intent& key) {
  const auto it = std::ranges::find_if(contract.intents, [&](const auto& have) {
    return have.service == key.service && have.model == key.model;
  });
  return it == contract.intents.end() ? nullptr : &*it;
}

std::string DescribeDifferences(const Intent& before, const Intent& after) {
  std::string text;
  AppendIfChanged("share", FormatNumber(before.share),
                  FormatNumber(after.share), &text);
  AppendIfChanged("priority", std::to_string(before.priority),
                  std::to_string(after.priority), &text);
  AppendIfChanged("version", before.version.str(), after.version.str(), &text);
  AppendIfChanged("adapters", Join(before.adapters), Join(after.adapters),
                  &text);
  return text;
}

std::string DescribeDifferences(const Contract& before, const Contract& after) {
  std::string text;
  for (const Intent& it : after.intents) {
    const Intent* old = FindIntent(before, it);
    if (old == nullptr) {
      AppendClause(
          &text, "new intent on " + IntentName(it) + ": " + DescribeTerms(it));
    } else if (*old != it) {
      AppendClause(&text,
                   IntentName(it) + ": " + DescribeDifferences(*old, it));
    }
  }
  for (const Intent& it : before.intents) {
    if (FindIntent(after, it) == nullptr) {
      AppendClause(&text, "no more intent on " + IntentName(it));
    }
  }
  AppendIfChanged("name", before.display_name, after.display_name, &text);
  AppendIfChanged(
      "deadline ms", std::to_string(base::ToMillis(before.default_deadline)),
      std::to_string(base::ToMillis(after.default_deadline)), &text);
  if (before.key_hashes != after.key_hashes) {
    AppendClause(&text, "caller keys " +
                            std::to_string(before.key_hashes.size()) + " -> " +
                            std::to_string(after.key_hashes.size()));
  }
  return text.empty() ? "intents in another order" : text;
}

std::string DescribeDifferences(const ServiceSpec& before,
                                const ServiceSpec& after) {
  std::string text;
  AppendIfChanged("role change price", FormatNumber(before.role_change_price),
                  FormatNumber(after.role_change_price), &text);
  AppendIfChanged("planner", std::string(before.planner_enabled ? "on" : "off"),
                  std::string(after.planner_enabled ? "on" : "off"), &text);
  AppendIfChanged("kind", std::string(before.engines ? "engines" : "plain"),
                  std::string(after.engines ? "engines" : "plain"), &text);
  return text;
}

std::string DescribeDifferences(const Operator& before, const Operator& after) {
  std::string text;
  AppendIfChanged("role", std::string(ToString(before.role)),
                  std::string(ToString(after.role)), &text);
  if (before.contracts != after.contracts) {
    AppendClause(&text, "contracts changed");
  }
  if (before.key_hashes != after.key_hashes) {
    AppendClause(&text, "keys " + std::to_string(before.key_hashes.size()) +
                            " -> " + std::to_string(after.key_hashes.size()));
  }
  return text;
}

std::string Summarize(const Contract& it) {
  std::string text;
  std::ranges::for_each(it.intents, [&](const Intent& intent) {
    AppendClause(&text, IntentName(intent) + ": " + DescribeTerms(intent));
  });
  return text.empty() ? "no intents" : text;
}

std::string Summarize(const ServiceSpec& it) {
  return it.engines ? "model engines" : "plain service";
}

std::string Summarize(const Operator& it) {
  return "role " + std::string(ToString(it.role));
}

template <typename Edits>
void AppendChanges(const std::string& what,
                   const Edits& edits,
                   std::vector<PlanChange>* changes) {
  for (const auto& [id, edit] : edits) {
    if (!edit.before) {
      changes->push_back({"add " + what, id.str(), Summarize(*edit.after)});
    } else if (!edit.after) {
      changes->push_back({"remove " + what, id.str(), Summarize(*edit.before)});
    } else {
      changes->push_back({"change " + what, id.str(),
                          DescribeDifferences(*edit.before, *edit.after)});
    }
  }
}

}  // namespace

std::vector<PlanChange> DescribeDelta(const ConfigDelta& delta) {
  std::vector<PlanChange> changes;
  AppendChanges("service", delta.services, &changes);
  AppendChanges("contract", delta.contracts, &changes);
  AppendChanges("operator", delta.operators, &changes);
  return changes;
}

}  // namespace lynxglade::version
