#include "oriolespread/base/Resources.h"

namespace oriolespread {

Resources& Resources::operator+=(const Resources& aOther)
{
  this->milliCores += aOther.milliCores;
  this->memoryMiB += aOther.memoryMiB;
  this->accelerators += aOther.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& aOther)
{
  this->milliCores -= aOther.milliCores;
  this->memoryMiB -= aOther.memoryMiB;
  this->accelerators -= aOther.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& aCapacity) const
{
  return this->milliCores <= aCapacity.milliCores && this->memoryMiB <= aCapacity.memoryMiB &&
         this->accelerators <= aCapacity.accelerators;
}

bool Resources::IsNonNegative() const
{
  return this->milliCores >= 0 && this->memoryMiB >= 0 && this->accelerators >= 0;
}

std::ostream& operator<<(std::ostream& aOut, const Resources& aResources)
{
  return aOut << aResources.milliCores << "m cores, " << aResources.memoryMiB << " MiB, "
              << aResources.accelerators << " accelerators";
}

} // namespace oriolespread
