#include "review/stand_ins/callers.h"

#include <algorithm>
#include <cstdlib>
#include <memory>
#include <utility>

namespace lynxglade::review {

namespace {

// Grace beyond the timeout, for an answer that is on its way.
constexpr Millis kAnswerGrace{1000};

struct Connection {
  explicit Connection(std::uint16_t port)
      : socket(Connect(port)), reader(socket) {}
  Socket socket;
  MessageReader reader;
};

// Returns whether the connection may be used again.
bool Exchange(const CallerSettings& settings,
              Connection& connection,
              CallerAttempt* attempt,
              Record& record) {
  attempt->sent = record.Now();
  record.Write("caller sends " + attempt->id + " to port " +
               std::to_string(attempt->port));
  const bool sent =
      connection.socket.is_open() &&
      SendAll(connection.socket,
              "POST " + settings.path + " HTTP/1.1\r\nHost: " + settings.host +
                  "\r\nLynxglade-Attempt-Id: " + attempt->id +
                  "\r\nLynxglade-Deadline-Ms: " +
                  std::to_string(settings.timeout.count()) + "\r\n" +
                  settings.headers +
                  "Content-Length: " + std::to_string(settings.body.size()) +
                  "\r\n\r\n" + settings.body);
  Message answer;
  const bool whole =
      sent && connection.reader.Read(
                  &answer, Clock::now() + settings.timeout + kAnswerGrace,
                  /*until_close=*/true) == ReadEnd::kWhole;
  attempt->ended = record.Now();
  if (whole) {
    attempt->status =
        std::atoi(answer.start.substr(answer.start.find(' ') + 1).c_str());
    attempt->signature = answer.Header("lynxglade-instance-signature");
    attempt->body = answer.body;
  }
  record.Write("caller got for " + attempt->id + ": " +
               (whole
                    ? std::to_string(attempt->status) + " " + attempt->signature
                    : std::string("no whole answer")));
  return whole && answer.Header("connection") != "close";
}

}  // namespace

Callers::Callers(CallerSettings settings,
                 const std::vector<std::uint16_t>& ports,
                 int count,
                 Record& record)
    : settings_(std::move(settings)), record_(record) {
  for (const std::uint16_t port : ports) {
    for (int i = 0; i < count; ++i) {
      threads_.emplace_back([this, port, i] { Run(port, i); });
    }
  }
}

Callers::~Callers() {
  Stop();
}

void Callers::Stop() {
  stopped_ = true;
  std::ranges::for_each(threads_, [](std::thread& it) { it.join(); });
  threads_.clear();
}

std::vector<CallerAttempt> Callers::Attempts() {
  const std::lock_guard lock(mutex_);
  return attempts_;
}

void Callers::Run(std::uint16_t port, int caller) {
  std::unique_ptr<Connection> connection;
  auto next = Clock::now() + settings_.period * caller / 10;
  for (int i = 0; !stopped_; ++i) {
    std::this_thread::sleep_until(next);
    next = std::max(next + settings_.period, Clock::now());
    CallerAttempt attempt;
    attempt.kept = connection != nullptr;
    if (!connection) {
      connection = std::make_unique<Connection>(port);
    }
    attempt.id = settings_.name + '-' + std::to_string(port) + '-' +
                 std::to_string(caller) + '-' + std::to_string(i);
    attempt.port = port;
    if (!Exchange(settings_, *connection, &attempt, record_)) {
      connection.reset();
    }
    const std::lock_guard lock(mutex_);
    attempts_.push_back(std::move(attempt));
  }
}

CallerAttempt SendOnce(const CallerSettings& settings,
                       std::uint16_t port,
                       const std::string& id,
                       Record& record) {
  Connection connection(port);
  CallerAttempt attempt;
  attempt.id = id;
  attempt.port = port;
  Exchange(settings, connection, &attempt, record);
  return attempt;
}

}  // namespace lynxglade::review
