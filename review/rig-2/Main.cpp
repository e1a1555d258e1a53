// The cases of this review that are scripts: `review-2 CASE RECORD` plays one and writes
// the file RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 the disruption is left out.
#include "SoakFaults.h"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <string>
#include <string_view>

namespace {

constexpr int kCouldNotRun = 2;

} // namespace

int main(int aCount, char** aWords)
{
  using namespace oriolespread::review;
  const std::map<std::string_view, int (*)(const CaseOptions&)> cases = {
    { "due-at-once", PlayDueAtOnce }, { "memory", PlayMemory },          { "same-id", PlaySameId },
    { "fills", PlayFills },           { "former-life", PlayFormerLife },
  };
  if (aCount != 3 || !cases.contains(aWords[1])) {
    std::cerr << "usage: review-2 CASE RECORD\n";
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  const CaseOptions options{ aWords[2], trouble == nullptr || std::string_view(trouble) != "0" };
  std::string reason =
    "the system did not come to do its first job, or the disruption did not occur";
  try {
    if (const int code = cases.at(aWords[1])(options); code != kCouldNotRun) {
      return code;
    }
  } catch (const std::exception& error) {
    reason = error.what();
  }
  std::cerr << reason << '\n';
  std::ofstream(options.record, std::ios::app) << "could not run: " << reason << '\n';
  return kCouldNotRun;
}
