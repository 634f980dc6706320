#include "fakes/details/platform_routes.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace lynxglade::fakes {

namespace {

using connection::KvAnswer;
using httplib::Request;
using httplib::Response;
using nlohmann::json;

constexpr base::Duration kHold = std::chrono::milliseconds(20);
constexpr base::Duration kPollInterval = std::chrono::milliseconds(20);
constexpr int kBadRequest = 400;
constexpr int kTooMany = 429;

void AnswerKv(const KvAnswer& answer, Response& res) {
  res.status = answer.status;
  res.set_content(answer.body, "application/json");
}

// Simulates a partition that drops packets: the caller gets no response until
// it disconnects.
void HoldCut(const FakeKv& kv, const std::string& source) {
  while (kv.IsCut(source) && OwnConnectionAlive()) {
    std::this_thread::sleep_for(kHold);
  }
}

void CallKv(FakeKv& kv, const Request& req, Response& res) {
  HoldCut(kv, req.remote_addr);
  if (!OwnConnectionAlive()) {
    return;
  }
  KvOutcome outcome = KvOutcome::kAnswered;
  connection::KvCall call;
  call.path = req.path;
  call.body = req.body;
  const std::optional<KvAnswer> answer =
      kv.Handle(call, req.remote_addr, &outcome);
  if (!answer) {
    ResetOwnConnection();
    return;
  }
  AnswerKv(*answer, res);
}

// One watch on a connection.
struct WatchStream {
  FakeKv* kv;
  KvWatch watch;
  std::string source;
  std::function<bool()> paused;

  bool Continue(httplib::DataSink& sink) {
    if (kv->IsCut(source) || paused()) {
      std::this_thread::sleep_for(kHold);
      return OwnConnectionAlive();
    }
    const std::optional<std::string> line = kv->NextLine(watch, kPollInterval);
    if (!line) {
      return false;
    }
    if (!line->empty()) {
      return sink.write(line->data(), line->size());
    }
    return OwnConnectionAlive();
  }
};

void WatchKv(FakeKv& kv,
             const std::function<bool()>& paused,
             const Request& req,
             Response& res) {
  HoldCut(kv, req.remote_addr);
  KvAnswer refusal;
  std::optional<KvWatch> watch = kv.OpenWatch(req.body, &refusal);
  if (!watch) {
    AnswerKv(refusal, res);
    return;
  }
  auto stream = std::make_shared<WatchStream>(
      WatchStream{&kv, std::move(*watch), req.remote_addr, paused});
  res.set_chunked_content_provider(
      "application/json",
      [stream](std::size_t, httplib::DataSink& sink) {
        return stream->Continue(sink);
      },
      [stream](bool) { stream->kv->CloseWatch(); });
}

void ReplaceList(FakeInstanceList& list, const Request& req, Response& res) {
  const json body = ParseObject(req.body);
  if (body.is_discarded() || !body.value("instances", json()).is_array()) {
    AnswerJson(res, kBadRequest, {{"error", {{"code", "bad_request"}}}});
    return;
  }
  list.Replace(body["instances"]);
  AnswerJson(res, 200, list.Latest());
}

json Shifted(json body, int port_offset) {
  for (json& row : body["instances"]) {
    if (row.is_object() && row.value("kind", "") != "entry" &&
        row.contains("port")) {
      row["port"] = row["port"].get<int>() + port_offset;
    }
  }
  return body;
}

void ChangeRow(FakeInstanceList& list, const Request& req, Response& res) {
  const json body = ParseObject(req.body);
  if (body.is_discarded()) {
    AnswerJson(res, kBadRequest, {{"error", {{"code", "bad_request"}}}});
    return;
  }
  list.Change(req.matches[1], body);
  AnswerJson(res, 200, list.Latest());
}

void LoadWeights(FakeWeightStore& store, const Request& req, Response& res) {
  const std::string model = req.matches[1];
  const std::string version = req.matches[2];
  const base::Duration wait = store.Load(model, version);
  if (wait > base::Duration{}) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    res.set_header("Retry-After", std::to_string(seconds));
    AnswerJson(res, kTooMany, {{"error", {{"code", "rate_limited"}}}});
    return;
  }
  AnswerJson(res, 200, {{"model", model}, {"version", version}});
}

}  // namespace

void AddKvRoutes(httplib::Server& server,
                 FakeKv& kv,
                 std::function<bool()> paused) {
  server.Post("/v3/watch", [&kv, paused = std::move(paused)](const Request& req,
                                                             Response& res) {
    WatchKv(kv, paused, req, res);
  });
  server.Post(
      "/v3/(kv|lease)/[a-z]+",
      [&kv](const Request& req, Response& res) { CallKv(kv, req, res); });
  server.Get("/stats", [&kv](const Request&, Response& res) {
    AnswerJson(res, 200, kv.StatsJson());
  });
}

void AddInstanceListRoutes(httplib::Server& server,
                           FakeInstanceList& list,
                           int port_offset) {
  server.Get("/v1/instances", [&list, port_offset](const Request& req,
                                                   Response& res) {
    const bool latest = req.has_param("latest");
    AnswerJson(res, 200,
               Shifted(latest ? list.Latest() : list.Lagging(), port_offset));
  });
  server.Put("/v1/instances", [&list](const Request& req, Response& res) {
    ReplaceList(list, req, res);
  });
  server.Post("/v1/instances/([^/]+)",
              [&list](const Request& req, Response& res) {
                ChangeRow(list, req, res);
              });
  server.Delete("/v1/instances/([^/]+)",
                [&list](const Request& req, Response& res) {
                  list.Remove(req.matches[1]);
                  AnswerJson(res, 200, list.Latest());
                });
}

void AddWeightStoreRoutes(httplib::Server& server, FakeWeightStore& store) {
  server.Get("/v1/weights/([^/]+)/([^/]+)",
             [&store](const Request& req, Response& res) {
               LoadWeights(store, req, res);
             });
  server.Get("/v1/limits", [&store](const Request&, Response& res) {
    AnswerJson(res, 200, {{"loads_per_minute", store.loads_per_minute()}});
  });
  server.Get("/journal", [&store](const Request&, Response& res) {
    AnswerJson(res, 200, {{"loads", store.JournalJson()}});
  });
}

}  // namespace lynxglade::fakes
