#include "process/peers/listing_turns.h"

#include <algorithm>

namespace lynxglade::process::peers {

namespace {

// The store sends values as base64, each item with its names and numbers.
constexpr double kSentBytesPerByte = 2;
constexpr double kBitsPerByte = 8;

// Bits over Mbit/s are microseconds.
base::Duration TransferTime(double bytes, double mbps) {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::micro>(kBitsPerByte * bytes / mbps));
}

}  // namespace

ListingTurns::ListingTurns(const ListingTurnsOptions& options,
                           const ListingGroup& group)
    : size_(group.size), options_(options), step_(options.response_time) {
  const double sent =
      kSentBytesPerByte *
      static_cast<double>(std::max<std::size_t>(group.listing_bytes, 1));
  if (group.link_mbps > 0) {
    step_ += TransferTime(sent, group.link_mbps);
  }
  const double at_store =
      static_cast<double>(step_.count()) /
      static_cast<double>(std::max<base::Duration::rep>(
          TransferTime(sent, options.store_link_mbps).count(), 1));
  const double part = static_cast<double>(group.size) /
                      static_cast<double>(std::max(
                          {group.all_instances, group.size, std::size_t{1}}));
  max_admitted_ =
      std::max(options.min_admitted,
               static_cast<std::size_t>(
                   std::min(at_store * part, static_cast<double>(group.size))));
}

std::size_t ListingTurns::Admitted(base::Duration waited) const {
  if (waited < base::Duration::zero()) {
    return 0;
  }
  if (AtOnce()) {
    return size_;
  }
  std::size_t admitted = std::min(options_.min_admitted, max_admitted_);
  for (base::Duration at = step_; at <= waited && admitted < size_;
       at += step_) {
    admitted +=
        std::min((options_.growth_factor - 1) * admitted, max_admitted_);
  }
  return std::min(admitted, size_);
}

base::Duration ListingTurns::TurnOf(std::size_t rank) const {
  base::Duration turn{};
  if (AtOnce()) {
    return turn;
  }
  while (Admitted(turn) <= std::min(rank, size_ - 1)) {
    turn += step_;
  }
  return turn;
}

}  // namespace lynxglade::process::peers
