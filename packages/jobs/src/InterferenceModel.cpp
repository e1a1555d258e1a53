#include "oriolespread/jobs/InterferenceBook.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace oriolespread::jobs {

namespace {

// Of a pair that was not seen yet: the mean of the pairs measured on abenov-rota-grown.
constexpr double kFirstWeight = 0.15;
// Share of an observation's error by which the weights, and the residual, move. Replayed on 5,000
// reports of abenov-rota-grown, these predict the next report best of the rates that still tell
// pairs apart.
constexpr double kPairRate = 0.1;
constexpr double kResidualRate = 0.3;
constexpr double kMaxWeight = 2.0;
// Ratios outside say no more than that the target is far, or that the run only starts.
constexpr double kLeastRatio = 0.1;
constexpr double kMostRatio = 4.5;

} // namespace

std::size_t InterferenceBook::NumberOf(const std::string& aServing)
{
  return this->numbers.try_emplace(aServing, this->numbers.size()).first->second;
}

void InterferenceBook::Observe(std::size_t aServing,
                               double aRatio,
                               const std::vector<Company>& aCompany,
                               double& aResidual)
{
  double expected = kBase + aResidual;
  double norm = 0;
  for (const Company& item : aCompany) {
    Row& row = this->rows[item.image];
    row.resize(std::max(row.size(), this->numbers.size()), kFirstWeight);
    expected += item.share * row[aServing];
    norm += item.share * item.share;
  }
  const double error = std::log(std::clamp(aRatio, kLeastRatio, kMostRatio)) - expected;
  aResidual += kResidualRate * error;
  for (const Company& item : aCompany) {
    double& weight = this->rows[item.image][aServing];
    weight =
      std::clamp(weight + kPairRate * error * item.share / std::max(norm, 1.0), 0.0, kMaxWeight);
  }
}

const InterferenceBook::Row& InterferenceBook::RowOf(const std::string& aFilling) const
{
  static const Row kUnknown;
  const auto it = this->rows.find(aFilling);
  return it == this->rows.end() ? kUnknown : it->second;
}

double InterferenceBook::Weight(const Row& aRow, std::size_t aServing)
{
  return aServing < aRow.size() ? aRow[aServing] : kFirstWeight;
}

double InterferenceBook::MeanWeight(const std::string& aFilling) const
{
  const Row& row = this->RowOf(aFilling);
  return row.empty()
           ? kFirstWeight
           : std::accumulate(row.begin(), row.end(), 0.0) / static_cast<double>(row.size());
}

} // namespace oriolespread::jobs
