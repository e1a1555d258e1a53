#include "oriolespread/service/MetricsText.h"

#include "oriolespread/service/LatencyHistogram.h"

#include <fmt/format.h>

#include <iterator>

namespace oriolespread {

namespace {

constexpr const char* kPrefix = "oriolespread_";

std::string EscapeLabel(const std::string& aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\\' || character == '"') {
      escaped += '\\';
      escaped += character;
    } else if (character == '\n') {
      escaped += "\\n";
    } else {
      escaped += character;
    }
  }
  return escaped;
}

void AppendCounters(std::string& aText, const Counters& aCounters)
{
  std::string previous;
  for (const auto& [key, value] : aCounters.All()) {
    const auto& [name, label] = key;
    if (name != previous) {
      fmt::format_to(std::back_inserter(aText), "# TYPE {}{} counter\n", kPrefix, name);
      previous = name;
    }
    fmt::format_to(std::back_inserter(aText),
                   "{}{}{{reason=\"{}\"}} {}\n",
                   kPrefix,
                   name,
                   EscapeLabel(label),
                   value);
  }
}

void AppendHistogram(std::string& aText,
                     const std::string& aName,
                     const LatencyHistogram& aHistogram)
{
  const std::string name = kPrefix + aName + "_seconds";
  const LatencyBuckets buckets = aHistogram.Buckets();
  auto out = std::back_inserter(aText);
  fmt::format_to(out, "# TYPE {} histogram\n", name);
  for (std::size_t index = 0; index < buckets.cumulative.size(); ++index) {
    fmt::format_to(out,
                   "{}_bucket{{le=\"{:.6g}\"}} {}\n",
                   name,
                   buckets.upperSeconds[index],
                   buckets.cumulative[index]);
  }
  fmt::format_to(out, "{}_bucket{{le=\"+Inf\"}} {}\n", name, buckets.count);
  fmt::format_to(
    out, "{}_sum {:.9g}\n{}_count {}\n", name, buckets.sumSeconds, name, buckets.count);
}

} // namespace

std::string MetricsText(const Counters& aCounters,
                        const std::map<std::string, double>& aGauges,
                        const std::map<std::string, const LatencyHistogram*>& aHistograms)
{
  std::string text;
  AppendCounters(text, aCounters);
  for (const auto& [name, value] : aGauges) {
    fmt::format_to(
      std::back_inserter(text), "# TYPE {0}{1} gauge\n{0}{1} {2:.9g}\n", kPrefix, name, value);
  }
  for (const auto& [name, histogram] : aHistograms) {
    AppendHistogram(text, name, *histogram);
  }
  return text;
}

} // namespace oriolespread
