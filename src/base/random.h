// A source of random numbers that is handed in, so that a test can seed it.
#ifndef LYNXGLADE_BASE_RANDOM_H_
#define LYNXGLADE_BASE_RANDOM_H_

#include <cstdint>
#include <functional>
#include <string>

namespace lynxglade::base {

// Returns 64 uniform random bits a call. The daemon's is thread-safe
// (a generator per thread); a test's need not be.
using RandomSource = std::function<std::uint64_t()>;

// A thread-safe source seeded from the operating system.
RandomSource SystemRandom();

// A deterministic source; not thread-safe.
RandomSource SeededRandom(std::uint64_t seed);

// Uniform in [0, bound); bound must be greater than 0.
std::uint64_t UniformBelow(const RandomSource& random, std::uint64_t bound);

// Uniform in [0, 1).
double UniformReal(const RandomSource& random);

// 16 random bytes as 32 hexadecimal digits, for ids.
std::string RandomHexId(const RandomSource& random);

}  // namespace lynxglade::base

#endif  // LYNXGLADE_BASE_RANDOM_H_
