// Registers measurements with the bench program. A file of cases ends with:
//
//   const BenchRegistration kCase{ "requests/retry_budget", MeasureRetryBudget };
//
// where MeasureRetryBudget takes a BenchContext& and reports each figure once.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace oriolespread {

enum class BoundKind
{
  AtMost,
  AtLeast,
};

// One reported figure. `baseline` is the figure of the compared policy or version of the same run.
struct BenchFigure
{
  std::string name;
  std::optional<double> baseline;
  double value = 0.0;
  std::string unit;
  // The bound comes from the requirements, never from a measured figure.
  std::optional<double> bound;
  BoundKind boundKind = BoundKind::AtMost;
};

// Handed to each case. Prints one JSON line for each figure: {case, baseline, value, unit, bound,
// holds}.
class BenchContext
{
public:
  BenchContext(std::string aCase, std::uint64_t aSeed);

  std::uint64_t Seed() const { return this->seed; }
  void Report(const BenchFigure& aFigure);
  // Returns whether every figure reported so far with a bound held it.
  bool AllHeld() const { return this->allHeld; }

private:
  std::string name;
  std::uint64_t seed;
  bool allHeld = true;
};

struct BenchCase
{
  std::string name;
  std::function<void(BenchContext&)> run;
};

// Returns all registered cases in order of name.
std::vector<BenchCase> AllBenchCases();

// Registers a case when constructed; use at namespace scope.
class BenchRegistration
{
public:
  BenchRegistration(std::string aName, std::function<void(BenchContext&)> aRun);
};

} // namespace oriolespread
