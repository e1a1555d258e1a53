// Collects everything that is wrong with an input before any of it is reported, so that its author
// can mend all of it at once:
//
//   Findings findings;
//   findings.Add({"agent.toml", 3, 7, "link.port"}, "is 70000", "an integer from 1 to 65535");
//   if (!findings.empty()) { std::cerr << findings.Report(); }
#pragma once

#include "absl/status/status.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread {

// Where a finding stands. Line and column count from 1; 0 means that the input has none.
struct Place
{
  std::string source;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  // Name of the item within the source, for example a key path; may be empty.
  std::string path;

  friend bool operator==(const Place&, const Place&) = default;
};

struct Finding
{
  Place place;
  std::string problem;
  // What would have been accepted; may be empty.
  std::string expected;

  friend bool operator==(const Finding&, const Finding&) = default;
};

// Returns "source:line:column: path: problem; expected ...", leaving out what is not known.
std::string ToString(const Finding& aFinding);

// An ordered list of findings. Not thread-safe.
class Findings
{
public:
  void Add(Place aPlace, std::string aProblem, std::string aExpected = {});
  void Append(const Findings& aOther);

  bool empty() const { return this->all.empty(); }
  std::size_t size() const { return this->all.size(); }
  const std::vector<Finding>& All() const { return this->all; }

  // Returns one line for each finding, in order, each ending in a newline.
  std::string Report() const;
  // Returns OK when there is no finding, else InvalidArgument with the report as its message.
  absl::Status ToStatus() const;

private:
  std::vector<Finding> all;
};

} // namespace oriolespread
