#include "process/peers/quarantine_messages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>

#include <nlohmann/json.hpp>

#include "connection/bounded_cbor.h"

namespace lynxglade::process::peers {

namespace {

using connection::CborWhole;
using nlohmann::json;
using request::Evidence;
using request::QuarantineMark;

constexpr std::uint64_t kVersion = 2;
constexpr std::size_t kMarkParts = 9;
constexpr std::size_t kCrashParts = 9;
constexpr std::size_t kMaxNameBytes = 200;
constexpr std::uint64_t kMaxMillis = std::uint64_t{1000} * 60 * 60 * 24;
constexpr std::uint64_t kMaxInFlight = 1'000'000;
constexpr std::uint64_t kMaxAnswers = 1'000;
// Counters are shifted when they are compared.
constexpr std::uint64_t kMaxCounter = std::uint64_t{1} << 47;
constexpr connection::CborLimits kLimits{
    .max_bytes = kMaxMarksBytes,
    .max_depth = 4,
    .max_elements =
        kMaxMarks * (kMarkParts + 1 + kMaxMarkCrashes * (kCrashParts + 1)) + 2};

// Flags of marks and of crashes.
constexpr std::uint64_t kQuarantined = 1;
constexpr std::uint64_t kOnProbation = 2;
constexpr std::uint64_t kIsPart = 4;
constexpr std::uint64_t kConfirmed = 1;
constexpr std::uint64_t kAlone = 2;
constexpr std::uint64_t kExplained = 4;
constexpr std::uint64_t kAnswering = 8;
constexpr std::uint64_t kAllFlags = 15;

std::uint64_t Millis(base::Duration d) {
  return static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(base::ToMillis(d), 0, kMaxMillis));
}

json EncodeCrash(const Evidence& it, base::Time now) {
  const std::uint64_t flags =
      (it.confirmed ? kConfirmed : 0) | (it.alone ? kAlone : 0) |
      (it.explained ? kExplained : 0) | (it.answering ? kAnswering : 0);
  return {it.crash_id,
          it.target.str(),
          Millis(now - it.at),
          static_cast<std::uint64_t>(it.shared),
          flags,
          Millis(it.ran),
          static_cast<std::uint64_t>(it.answers),
          it.organisation,
          it.content};
}

json EncodeRow(const DecodedMark& row, base::Time now) {
  const QuarantineMark& mark = row.mark;
  json crashes = json::array();
  const std::size_t n = std::min(mark.evidence.size(), kMaxMarkCrashes);
  std::for_each(
      mark.evidence.end() - static_cast<std::ptrdiff_t>(n), mark.evidence.end(),
      [&](const Evidence& it) { crashes.push_back(EncodeCrash(it, now)); });
  const std::uint64_t flags = (mark.quarantined ? kQuarantined : 0) |
                              (mark.on_probation ? kOnProbation : 0) |
                              (mark.is_part ? kIsPart : 0);
  return {ToHex(row.content),
          mark.epoch,
          mark.counter,
          flags,
          mark.owner.str(),
          Millis(mark.owned_until - now),
          mark.rerun_target.str(),
          Millis(mark.expires - now),
          std::move(crashes)};
}

std::optional<std::string> ReadName(const json& value) {
  if (!value.is_string()) {
    return std::nullopt;
  }
  auto name = value.get<std::string>();
  return name.size() <= kMaxNameBytes ? std::optional(std::move(name))
                                      : std::nullopt;
}

std::optional<Evidence> ReadCrash(const json& row, base::Time now) {
  if (!row.is_array() || row.size() != kCrashParts) {
    return std::nullopt;
  }
  const auto id = ReadName(row[0]);
  const auto target = ReadName(row[1]);
  const auto age = CborWhole(row[2], kMaxMillis);
  const auto shared = CborWhole(row[3], kMaxInFlight);
  const auto flags = CborWhole(row[4], kAllFlags);
  const auto ran = CborWhole(row[5], kMaxMillis);
  const auto answers = CborWhole(row[6], kMaxAnswers);
  const auto organisation =
      CborWhole(row[7], std::numeric_limits<std::uint32_t>::max());
  const auto content =
      CborWhole(row[8], std::numeric_limits<std::uint32_t>::max());
  if (!id || !target || !age || !shared || !flags || !ran || !answers ||
      !organisation || !content) {
    return std::nullopt;
  }
  return Evidence{.crash_id = *id,
                  .target = base::TargetId(*target),
                  .at = now - std::chrono::milliseconds(*age),
                  .shared = static_cast<int>(*shared),
                  .confirmed = (*flags & kConfirmed) != 0,
                  .alone = (*flags & kAlone) != 0,
                  .explained = (*flags & kExplained) != 0,
                  .answering = (*flags & kAnswering) != 0,
                  .ran = std::chrono::milliseconds(*ran),
                  .answers = static_cast<int>(*answers),
                  .content = static_cast<std::uint32_t>(*content),
                  .organisation = static_cast<std::uint32_t>(*organisation)};
}

// Nothing if the value is not an array, or has a malformed element.
std::optional<std::vector<Evidence>> ReadCrashes(const json& value,
                                                 base::Time now) {
  if (!value.is_array() || value.size() > kMaxMarkCrashes) {
    return std::nullopt;
  }
  std::vector<Evidence> crashes;
  for (const json& it : value) {
    auto crash = ReadCrash(it, now);
    if (!crash) {
      return std::nullopt;
    }
    crashes.push_back(std::move(*crash));
  }
  return crashes;
}

std::optional<DecodedMark> ReadRow(const json& row, base::Time now) {
  if (!row.is_array() || row.size() != kMarkParts || !row[0].is_string()) {
    return std::nullopt;
  }
  const auto content = request::ParseContentHash(row[0].get<std::string>());
  const auto epoch =
      CborWhole(row[1], std::numeric_limits<std::int64_t>::max());
  const auto counter = CborWhole(row[2], kMaxCounter);
  const auto flags = CborWhole(row[3], kAllFlags);
  const auto owner = ReadName(row[4]);
  const auto owned = CborWhole(row[5], kMaxMillis);
  const auto rerun_target = ReadName(row[6]);
  const auto expires = CborWhole(row[7], kMaxMillis);
  auto crashes = ReadCrashes(row[8], now);
  if (!content || !epoch || !counter || !flags || !owner || !owned ||
      !rerun_target || !expires || !crashes) {
    return std::nullopt;
  }
  return DecodedMark{*content,
                     {.is_part = (*flags & kIsPart) != 0,
                      .epoch = *epoch,
                      .counter = *counter,
                      .owner = base::InstanceId(*owner),
                      .owned_until = now + std::chrono::milliseconds(*owned),
                      .rerun_target = base::TargetId(*rerun_target),
                      .evidence = std::move(*crashes),
                      .quarantined = (*flags & kQuarantined) != 0,
                      .on_probation = (*flags & kOnProbation) != 0,
                      .expires = now + std::chrono::milliseconds(*expires)}};
}

}  // namespace

std::string EncodeMarks(const std::vector<DecodedMark>& marks, base::Time now) {
  json message = json::array({kVersion});
  const std::size_t n = std::min(marks.size(), kMaxMarks);
  std::for_each_n(marks.begin(), n, [&](const DecodedMark& it) {
    message.push_back(EncodeRow(it, now));
  });
  return connection::EncodeCbor(message);
}

std::optional<std::vector<DecodedMark>> DecodeMarks(std::string_view bytes,
                                                    base::Time now) {
  const auto message = connection::DecodeVersioned(bytes, kLimits, kVersion);
  if (!message || message->size() > kMaxMarks + 1) {
    return std::nullopt;
  }
  std::vector<DecodedMark> marks;
  for (std::size_t i = 1; i < message->size(); ++i) {
    auto mark = ReadRow((*message)[i], now);
    if (!mark) {
      return std::nullopt;
    }
    marks.push_back(std::move(*mark));
  }
  return marks;
}

}  // namespace lynxglade::process::peers
