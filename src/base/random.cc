#include "base/random.h"

#include <array>
#include <cstdio>
#include <memory>
#include <random>

namespace lynxglade::base {

namespace {

// 2^-53: the spacing of doubles drawn from 53 random bits.
constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;

std::mt19937_64 MakeSystemGenerator() {
  std::random_device device;
  std::seed_seq seq{device(), device(), device(), device()};
  return std::mt19937_64(seq);
}

}  // namespace

RandomSource SystemRandom() {
  return [] {
    thread_local std::mt19937_64 generator = MakeSystemGenerator();
    return generator();
  };
}

RandomSource SeededRandom(std::uint64_t seed) {
  auto generator = std::make_shared<std::mt19937_64>(seed);
  return [generator] { return (*generator)(); };
}

std::uint64_t UniformBelow(const RandomSource& random, std::uint64_t bound) {
  // Multiply-shift; the bias is below bound / 2^64.
  const auto wide = static_cast<unsigned __int128>(random()) * bound;
  return static_cast<std::uint64_t>(wide >> 64);
}

double UniformReal(const RandomSource& random) {
  return static_cast<double>(random() >> 11) * kTwoToMinus53;
}

std::string RandomHexId(const RandomSource& random) {
  std::array<char, 33> buf{};
  std::snprintf(buf.data(), buf.size(), "%016llx%016llx",
                static_cast<unsigned long long>(random()),
                static_cast<unsigned long long>(random()));
  return std::string(buf.data(), 32);
}

}  // namespace lynxglade::base
