#include "oriolespread/base/Ids.h"

#include <algorithm>

namespace oriolespread {

namespace {

bool IsNameCharacter(char aChar)
{
  const bool letter = (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z');
  const bool digit = aChar >= '0' && aChar <= '9';
  return letter || digit || aChar == '.' || aChar == '_' || aChar == '-';
}

} // namespace

bool IsValidName(std::string_view aName)
{
  if (aName.empty() || aName.size() > kMaxNameLength) {
    return false;
  }
  return std::all_of(aName.begin(), aName.end(), IsNameCharacter);
}

} // namespace oriolespread
