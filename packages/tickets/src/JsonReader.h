// Reads one JSON object strictly into typed values. Each Read takes a member's value when it is
// there and right, leaves the target as it was when the member is absent, and adds a finding
// otherwise. Members that were never read are findings of Finish.
#pragma once

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Resources.h"
#include "oriolespread/base/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace oriolespread::internal {

template<typename T>
struct Bounds
{
  T low;
  T high;
};

class JsonReader
{
public:
  // The arguments must outlive the reader. A value that is no object is a finding.
  JsonReader(const nlohmann::json& aValue, Place aPlace, Findings& aFindings);

  // Returns whether the value is an object; the members of another value count as absent.
  bool IsObject() const { return this->object != nullptr; }
  // Returns a member that must be there, or null and a finding.
  const nlohmann::json* Require(const char* aName, std::string_view aExpected);
  // Returns a member or null.
  const nlohmann::json* Take(const char* aName);

  void ReadBool(const char* aName, bool& aTarget);
  void ReadNumber(const char* aName, double& aTarget, Bounds<double> aBounds);
  void ReadInteger(const char* aName, std::uint32_t& aTarget, Bounds<std::uint32_t> aBounds);
  void ReadInteger(const char* aName,
                   std::optional<std::uint32_t>& aTarget,
                   Bounds<std::uint32_t> aBounds);
  void ReadMilliseconds(const char* aName, Duration& aTarget, Bounds<Duration> aBounds);
  // Reads {"cores", "memory_mib", "accelerators"}; the first two must be there.
  void ReadResources(const char* aName, Resources& aTarget);

  Place PlaceOf(std::string_view aName) const;
  void Complain(std::string_view aName, std::string aProblem, std::string aExpected);
  void Finish();

private:
  // Returns the number within the bounds, or nothing and a finding when the member is wrong.
  std::optional<std::int64_t> WholeNumber(const char* aName, std::int64_t aLow, std::int64_t aHigh);

  const nlohmann::json* object = nullptr;
  Place place;
  Findings* findings;
  std::set<std::string, std::less<>> known;
};

// Returns "is 5", "is a text of 7 bytes" and the like; never the whole of a long value.
std::string Describe(const nlohmann::json& aValue);

} // namespace oriolespread::internal
