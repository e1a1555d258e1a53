#include "oriolespread/bench/BenchCase.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

namespace oriolespread {

namespace {

std::vector<BenchCase>& Registry()
{
  static std::vector<BenchCase> sCases;
  return sCases;
}

bool Holds(const BenchFigure& aFigure)
{
  if (!aFigure.bound.has_value()) {
    return true;
  }
  return aFigure.boundKind == BoundKind::AtMost ? aFigure.value <= *aFigure.bound
                                                : aFigure.value >= *aFigure.bound;
}

} // namespace

BenchContext::BenchContext(std::string aCase, std::uint64_t aSeed)
  : name(std::move(aCase))
  , seed(aSeed)
{
}

void BenchContext::Report(const BenchFigure& aFigure)
{
  const bool holds = Holds(aFigure);
  this->allHeld = this->allHeld && holds;
  nlohmann::ordered_json line;
  line["case"] = this->name + "/" + aFigure.name;
  line["baseline"] = aFigure.baseline.has_value() ? nlohmann::ordered_json(*aFigure.baseline)
                                                  : nlohmann::ordered_json(nullptr);
  line["value"] = aFigure.value;
  line["unit"] = aFigure.unit;
  if (aFigure.bound.has_value()) {
    line["bound"] = *aFigure.bound;
    line["bound_kind"] = aFigure.boundKind == BoundKind::AtMost ? "at_most" : "at_least";
    line["holds"] = holds;
  } else {
    line["bound"] = nullptr;
    line["holds"] = nullptr;
  }
  line["seed"] = this->seed;
  std::cout << line.dump() << std::endl;
}

std::vector<BenchCase> AllBenchCases()
{
  std::vector<BenchCase> cases = Registry();
  std::sort(cases.begin(), cases.end(), [](const BenchCase& aLeft, const BenchCase& aRight) {
    return aLeft.name < aRight.name;
  });
  return cases;
}

BenchRegistration::BenchRegistration(std::string aName, std::function<void(BenchContext&)> aRun)
{
  Registry().push_back({ std::move(aName), std::move(aRun) });
}

} // namespace oriolespread
