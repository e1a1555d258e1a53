// A distinct type around a plain value, so that identifiers and units of different kinds cannot be
// mixed up. Declare one with a tag:
//
//   using WorkerId = StrongType<struct WorkerIdTag, std::string>;
//   WorkerId id{"w-17"};
//   id.Value();
#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <functional>
#include <ostream>
#include <utility>

namespace oriolespread {

// Holds one value of type `Rep`. Values are regular: they copy, compare, hash, print and convert to
// and from JSON as the underlying value does.
template<typename Tag, typename Rep>
class StrongType
{
public:
  using RepType = Rep;

  constexpr StrongType() = default;
  constexpr explicit StrongType(Rep aValue)
    : value(std::move(aValue))
  {
  }

  // Returns the underlying value; the reference is valid as long as this object.
  constexpr const Rep& Value() const { return this->value; }

  friend constexpr auto operator<=>(const StrongType&, const StrongType&) = default;

  template<typename H>
  friend H AbslHashValue(H aState, const StrongType& aId)
  {
    return H::combine(std::move(aState), aId.value);
  }

  friend std::ostream& operator<<(std::ostream& aOut, const StrongType& aId)
  {
    return aOut << aId.value;
  }

  friend void to_json(nlohmann::json& aJson, const StrongType& aId) { aJson = aId.value; }
  friend void from_json(const nlohmann::json& aJson, StrongType& aId)
  {
    aId.value = aJson.get<Rep>();
  }

private:
  Rep value{};
};

} // namespace oriolespread

template<typename Tag, typename Rep>
struct std::hash<oriolespread::StrongType<Tag, Rep>>
{
  std::size_t operator()(const oriolespread::StrongType<Tag, Rep>& aId) const
  {
    return std::hash<Rep>{}(aId.Value());
  }
};
