// Human-readable descriptions of configuration changes.
#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "version/plan.h"

namespace lynxglade::version {
namespace {

std::string Number(double n) {
  return nlohmann::json(n).dump();
}

void Add(std::string* text, const std::string& more) {
  if (!text->empty()) {
    *text += "; ";
  }
  *text += more;
}

template <typename T>
void Compare(const char* name, const T& was, const T& is, std::string* text) {
  if (was != is) {
    Add(text, std::string(name) + " " + was + " -> " + is);
  }
}

std::string NameOf(const Intent& intent) {
  return intent.service.str() +
         (intent.model.empty() ? "" : "/" + intent.model.str());
}

std::string Terms(const Intent& it) {
  return "share " + Number(it.share) + ", priority " +
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

const Intent* Find(const Contract& contract, const Intent& like) {
  const auto it = std::ranges::find_if(contract.intents, [&](const auto& have) {
    return have.service == like.service && have.model == like.model;
  });
  return it == contract.intents.end() ? nullptr : &*it;
}

std::string Differences(const Intent& was, const Intent& is) {
  std::string text;
  Compare("share", Number(was.share), Number(is.share), &text);
  Compare("priority", std::to_string(was.priority), std::to_string(is.priority),
          &text);
  Compare("version", was.version.str(), is.version.str(), &text);
  Compare("adapters", Join(was.adapters), Join(is.adapters), &text);
  return text;
}

std::string Differences(const Contract& was, const Contract& is) {
  std::string text;
  for (const Intent& it : is.intents) {
    const Intent* old = Find(was, it);
    if (old == nullptr) {
      Add(&text, "new intent on " + NameOf(it) + ": " + Terms(it));
    } else if (*old != it) {
      Add(&text, NameOf(it) + ": " + Differences(*old, it));
    }
  }
  for (const Intent& it : was.intents) {
    if (Find(is, it) == nullptr) {
      Add(&text, "no more intent on " + NameOf(it));
    }
  }
  Compare("name", was.display_name, is.display_name, &text);
  Compare("deadline ms", std::to_string(base::ToMillis(was.default_deadline)),
          std::to_string(base::ToMillis(is.default_deadline)), &text);
  if (was.key_hashes != is.key_hashes) {
    Add(&text, "caller keys " + std::to_string(was.key_hashes.size()) + " -> " +
                   std::to_string(is.key_hashes.size()));
  }
  return text.empty() ? "intents in another order" : text;
}

std::string Differences(const ServiceSpec& was, const ServiceSpec& is) {
  std::string text;
  Compare("role change price", Number(was.role_change_price),
          Number(is.role_change_price), &text);
  Compare("planner", std::string(was.planner_enabled ? "on" : "off"),
          std::string(is.planner_enabled ? "on" : "off"), &text);
  Compare("kind", std::string(was.engines ? "engines" : "plain"),
          std::string(is.engines ? "engines" : "plain"), &text);
  return text;
}

std::string Differences(const Operator& was, const Operator& is) {
  std::string text;
  Compare("role", std::string(ToString(was.role)),
          std::string(ToString(is.role)), &text);
  if (was.contracts != is.contracts) {
    Add(&text, "contracts changed");
  }
  if (was.key_hashes != is.key_hashes) {
    Add(&text, "keys " + std::to_string(was.key_hashes.size()) + " -> " +
                   std::to_string(is.key_hashes.size()));
  }
  return text;
}

std::string Summary(const Contract& it) {
  std::string text;
  std::ranges::for_each(it.intents, [&](const Intent& intent) {
    Add(&text, NameOf(intent) + ": " + Terms(intent));
  });
  return text.empty() ? "no intents" : text;
}

std::string Summary(const ServiceSpec& it) {
  return it.engines ? "model engines" : "plain service";
}

std::string Summary(const Operator& it) {
  return "role " + std::string(ToString(it.role));
}

template <typename Edits>
void Describe(const std::string& what,
              const Edits& edits,
              std::vector<PlanChange>* changes) {
  for (const auto& [id, edit] : edits) {
    if (!edit.before) {
      changes->push_back({"add " + what, id.str(), Summary(*edit.after)});
    } else if (!edit.after) {
      changes->push_back({"remove " + what, id.str(), Summary(*edit.before)});
    } else {
      changes->push_back(
          {"change " + what, id.str(), Differences(*edit.before, *edit.after)});
    }
  }
}

}  // namespace

std::vector<PlanChange> DescribeDelta(const ConfigDelta& delta) {
  std::vector<PlanChange> changes;
  Describe("service", delta.services, &changes);
  Describe("contract", delta.contracts, &changes);
  Describe("operator", delta.operators, &changes);
  return changes;
}

}  // namespace lynxglade::version
