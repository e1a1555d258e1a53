#include "oriolespread/base/Findings.h"

#include "absl/strings/str_cat.h"

namespace oriolespread {

std::string ToString(const Finding& aFinding)
{
  std::string text = aFinding.place.source;
  if (aFinding.place.line > 0) {
    absl::StrAppend(&text, ":", aFinding.place.line, ":", aFinding.place.column);
  }
  if (!text.empty()) {
    text += ": ";
  }
  if (!aFinding.place.path.empty()) {
    absl::StrAppend(&text, aFinding.place.path, ": ");
  }
  text += aFinding.problem;
  if (!aFinding.expected.empty()) {
    absl::StrAppend(&text, "; expected ", aFinding.expected);
  }
  return text;
}

void Findings::Add(Place aPlace, std::string aProblem, std::string aExpected)
{
  this->all.push_back({ std::move(aPlace), std::move(aProblem), std::move(aExpected) });
}

void Findings::Append(const Findings& aOther)
{
  this->all.insert(this->all.end(), aOther.all.begin(), aOther.all.end());
}

std::string Findings::Report() const
{
  std::string text;
  for (const Finding& finding : this->all) {
    absl::StrAppend(&text, ToString(finding), "\n");
  }
  return text;
}

absl::Status Findings::ToStatus() const
{
  if (this->all.empty()) {
    return absl::OkStatus();
  }
  return absl::InvalidArgumentError(this->Report());
}

} // namespace oriolespread
