// The cases of this review that are scripts: `review-2 CASE DIRECTORY` plays one and writes
// DIRECTORY/record.txt. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run. With TROUBLE=0 the disruption is left out.
#include "SoakFaults.h"

#include <cstdlib>
#include <iostream>
#include <map>
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
    std::cerr << "usage: review-2 CASE DIRECTORY\n";
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    return cases.at(aWords[1])(
      { aWords[2], trouble == nullptr || std::string_view(trouble) != "0" });
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCouldNotRun;
  }
}
