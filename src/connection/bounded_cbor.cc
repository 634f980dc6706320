#include "connection/bounded_cbor.h"

#include <cstdint>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace lynxglade::connection {

namespace {

using Json = nlohmann::json;

// SAX handler that aborts parsing when a limit is exceeded. Lower-case names
// are those of nlohmann::json_sax.
class BoundsCheck : public nlohmann::json_sax<Json> {
 public:
  BoundsCheck(const CborLimits& limits, std::size_t bytes) noexcept
      : limits_(limits), bytes_(bytes) {}

  bool null() override { return CountOne(); }
  bool boolean(bool /*value*/) override { return CountOne(); }
  bool number_integer(Json::number_integer_t /*value*/) override {
    return CountOne();
  }
  bool number_unsigned(Json::number_unsigned_t /*value*/) override {
    return CountOne();
  }
  bool number_float(Json::number_float_t /*value*/,
                    const std::string& /*text*/) override {
    return CountOne();
  }
  bool string(std::string& /*value*/) override { return CountOne(); }
  bool binary(Json::binary_t& /*value*/) override { return CountOne(); }
  bool key(std::string& /*value*/) override { return CountOne(); }
  bool start_object(std::size_t elements) override { return Enter(elements); }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t elements) override { return Enter(elements); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t /*position*/,
                   const std::string& /*token*/,
                   const Json::exception& /*exception*/) override {
    error_ = CborError::kMalformed;
    return false;
  }

  CborError error() const noexcept { return error_; }

 private:
  static constexpr std::size_t kIndefinite = static_cast<std::size_t>(-1);

  bool Fail(CborError error) noexcept {
    error_ = error;
    return false;
  }

  bool CountOne() noexcept {
    ++elements_;
    return elements_ <= limits_.max_elements ||
           Fail(CborError::kTooManyElements);
  }

  bool Enter(std::size_t declared) noexcept {
    ++depth_;
    if (depth_ > limits_.max_depth) {
      return Fail(CborError::kTooDeep);
    }
    // Each element takes at least one byte; a larger count is invalid and would
    // only make the parser reserve memory.
    if (declared != kIndefinite && declared > bytes_) {
      return Fail(CborError::kTooManyElements);
    }
    return CountOne();
  }

  bool Leave() noexcept {
    --depth_;
    return true;
  }

  const CborLimits limits_;
  const std::size_t bytes_;
  std::size_t depth_ = 0;
  std::size_t elements_ = 0;
  CborError error_ = CborError::kNone;
};

}  // namespace

std::string_view ToString(CborError error) noexcept {
  switch (error) {
    case CborError::kNone:
      return "none";
    case CborError::kTooLarge:
      return "too_large";
    case CborError::kTooDeep:
      return "too_deep";
    case CborError::kTooManyElements:
      return "too_many_elements";
    case CborError::kMalformed:
      break;
  }
  return "malformed";
}

std::optional<Json> DecodeCbor(std::string_view bytes,
                               const CborLimits& limits,
                               CborError* error) {
  *error = CborError::kNone;
  if (bytes.size() > limits.max_bytes) {
    *error = CborError::kTooLarge;
    return std::nullopt;
  }
  BoundsCheck check(limits, bytes.size());
  if (!Json::sax_parse(bytes, &check, Json::input_format_t::cbor)) {
    *error = check.error() == CborError::kNone ? CborError::kMalformed
                                               : check.error();
    return std::nullopt;
  }
  Json value = Json::from_cbor(bytes, /*strict=*/true,
                               /*allow_exceptions=*/false);
  if (value.is_discarded()) {
    *error = CborError::kMalformed;
    return std::nullopt;
  }
  return value;
}

std::optional<std::uint64_t> CborWhole(const nlohmann::json& value,
                                       std::uint64_t high) {
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > high) {
    return std::nullopt;
  }
  return value.get<std::uint64_t>();
}

std::optional<nlohmann::json> DecodeVersioned(std::string_view bytes,
                                              const CborLimits& limits,
                                              std::uint64_t version) {
  CborError error{};
  auto message = DecodeCbor(bytes, limits, &error);
  if (!message || !message->is_array() || message->empty() ||
      CborWhole((*message)[0], version) != version) {
    return std::nullopt;
  }
  return message;
}

std::string EncodeCbor(const Json& value) {
  std::string bytes;
  Json::to_cbor(value, bytes);
  return bytes;
}

}  // namespace lynxglade::connection
