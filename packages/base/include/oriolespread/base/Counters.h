// Named event counters with one label, exported by the metrics adapter:
//
//   counters.Add("requests_refused_total", "queue_full");
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

namespace oriolespread {

// A set of counters keyed by name and label value. Thread-safe.
class Counters
{
public:
  using Key = std::pair<std::string, std::string>;

  void Add(std::string_view aName, std::string_view aLabel, std::uint64_t aAmount = 1);
  // Returns 0 for a counter that was never added to.
  std::uint64_t Get(std::string_view aName, std::string_view aLabel) const;
  // Returns the sum over all labels of a name.
  std::uint64_t Total(std::string_view aName) const;
  std::map<Key, std::uint64_t> All() const;

private:
  struct KeyLess
  {
    using is_transparent = void;
    using View = std::pair<std::string_view, std::string_view>;
    bool operator()(const View& aLeft, const View& aRight) const { return aLeft < aRight; }
  };
  mutable std::mutex mutex;
  std::map<Key, std::uint64_t, KeyLess> values;
};

} // namespace oriolespread
