// Numbers names densely, so that records of tasks and workers hold 4 bytes for each name.
#pragma once

#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <string>
#include <vector>

namespace oriolespread::internal {

// Names are never forgotten: their number is bounded by organisations, teams, kinds and services.
class NameTable
{
public:
  // Returns the number of the name, allotting one when it is new. The empty name is kNone.
  NameIndex Intern(const std::string& aName)
  {
    if (aName.empty()) {
      return kNone;
    }
    const auto [it, added] =
      this->indexes.try_emplace(aName, static_cast<NameIndex>(this->indexes.size()));
    if (added) {
      this->names.push_back(aName);
    }
    return it->second;
  }

  const std::string& Name(NameIndex aIndex) const { return this->names[aIndex]; }
  std::size_t size() const { return this->names.size(); }

private:
  absl::flat_hash_map<std::string, NameIndex> indexes;
  std::vector<std::string> names;
};

} // namespace oriolespread::internal
