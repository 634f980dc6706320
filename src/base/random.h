// Random numbers from an injected source, so that tests can be deterministic.
#ifndef LYNXGLADE_BASE_RANDOM_H_
#define LYNXGLADE_BASE_RANDOM_H_

#include <cstdint>
#include <functional>
#include <string>

namespace lynxglade::base {

// Returns 64 uniform random bits per call. Whether it is thread-safe depends on
// the source.
using RandomSource = std::function<std::uint64_t()>;

// Thread-safe: one generator per thread, seeded by the operating system.
RandomSource SystemRandom();

// Deterministic; not thread-safe.
RandomSource SeededRandom(std::uint64_t seed);

// Uniform in [0, bound); bound must be greater than 0.
std::uint64_t UniformBelow(const RandomSource& random, std::uint64_t bound);

// Uniform in [0, 1).
double UniformReal(const RandomSource& random);

// 16 random bytes as 32 hexadecimal digits, for ids.
std::string RandomHexId(const RandomSource& random);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_RANDOM_H_
