// Interns names, so that the records of tasks and workers store a 4-byte index for each name.
#pragma once

#include "PlacementModel.h"
#include "absl/container/flat_hash_map.h"

#include <string>
#include <vector>

namespace oriolespread::internal {

// Names are never removed. Their number is bounded by the numbers of organisations, teams, kinds
// and services.
class NameTable
{
public:
  // Returns the index of the name and assigns one to a new name. The index of the empty name is
  // kNone.
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
