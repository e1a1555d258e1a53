#include "oriolespread/scenarios/Script.h"

#include "oriolespread/base/Ids.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>
#include <utility>

namespace oriolespread::scenarios {

namespace {

// Every form of a step. A word in angle brackets is a slot; its type stands before the colon, or is
// its name. A slot of type rest takes the remainder of the line.
constexpr const char* kHeaderForms[] = {
  "seed <count>",
  "tasks entries <count:entries> workers <count:workers> capacity <count:cores> <count:memory>",
  "horizon <time>",
  R"(requests entries <count:entries> workers <count:workers> centres <count:centres> link <time:link> service <time:service>)",
  "traffic <name> rate <count>",
  "tickets entries <count:entries> agents <count:agents>",
};

constexpr const char* kTimedForms[] = {
  "submit job <name> tasks <count:tasks> length <time:length> need <count:cores> <count:memory>",
  "submit service <name> replicas <count:tasks> need <count:cores> <count:memory>",
  "cancel job <name>",
  "cancel job <name> first <count>",
  "kill entry <entry>",
  "start entry <count>",
  "pause entry <entry> for <time>",
  "kill agent <count>",
  "start agent <count>",
  "pause agent <count> for <time>",
  "kill worker <count>",
  "kill rack <count>",
  "replace worker <count>",
  "worker <count> fails <share>",
  "cut entry <entry> agent <count>",
  "heal entry <count:entry> agent <count:agent>",
  "store down",
  "store up",
  "store slow <time>",
  "store loses <share>",
  "messages drop <share>",
  "messages duplicate <share>",
  "messages delay <time>",
  "evictions <share>",
  "rate <name> <count>",
  "upstream <count> killed",
  "upstream <count> vanished",
  "upstream <count> paused",
  "upstream <count> breaks off",
  "upstream <count> healthy",
  "upstream <count> leaves",
  "ticket <name> at entry <count:entry> based on <count:base> sets <key> to <rest>",
  "expect job <name> finished",
  "expect tasks completed <count>",
  "expect tasks running at least <count>",
  "expect tasks running <count>",
  "expect attempts at most <count>",
  "expect lapses at most <count>",
  "expect evictions at least <count>",
  "expect owner",
  "expect no owner",
  "expect requests answered at least <share>",
  "expect requests failed at most <count>",
  "expect failures only on faulty upstreams",
  "expect ticket <name> accepted",
  "expect ticket <name> refused",
  "expect number <count> everywhere",
  "expect number at least <count> everywhere",
};

struct Word
{
  std::string text;
  std::uint32_t column = 0;
};

std::vector<Word> Split(const std::string& aLine)
{
  std::vector<Word> words;
  std::size_t at = 0;
  while (at < aLine.size() && aLine[at] != '#') {
    if (aLine[at] == ' ' || aLine[at] == '\t' || aLine[at] == '\r') {
      ++at;
      continue;
    }
    const std::size_t end = std::min(aLine.find_first_of(" \t\r", at), aLine.size());
    words.push_back({ aLine.substr(at, end - at), static_cast<std::uint32_t>(at + 1) });
    at = end;
  }
  return words;
}

std::optional<std::uint64_t> ParseCount(std::string_view aText)
{
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  constexpr std::uint64_t kMax = 1'000'000;
  if (aText.empty() || parsed.ec != std::errc() || parsed.ptr != aText.data() + aText.size() ||
      number > kMax) {
    return std::nullopt;
  }
  return number;
}

std::optional<Duration> ParseTime(std::string_view aText)
{
  struct Unit
  {
    std::string_view name;
    Duration length;
  };
  constexpr Unit kUnits[] = { { "us", std::chrono::microseconds(1) },
                              { "ms", std::chrono::milliseconds(1) },
                              { "min", std::chrono::minutes(1) },
                              { "s", std::chrono::seconds(1) } };
  for (const Unit& unit : kUnits) {
    if (aText.ends_with(unit.name)) {
      const auto number = ParseCount(aText.substr(0, aText.size() - unit.name.size()));
      return number.has_value() ? std::optional<Duration>(unit.length * *number) : std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<double> ParseShare(std::string_view aText)
{
  if (!aText.ends_with("%")) {
    return std::nullopt;
  }
  const auto number = ParseCount(aText.substr(0, aText.size() - 1));
  if (!number.has_value() || *number > 100) {
    return std::nullopt;
  }
  return static_cast<double>(*number) / 100.0;
}

struct Slot
{
  std::string type;
  std::string name;
};

Slot SlotOf(const std::string& aWord)
{
  const std::string inner = aWord.substr(1, aWord.size() - 2);
  const std::size_t colon = inner.find(':');
  if (colon == std::string::npos) {
    return { inner, inner };
  }
  return { inner.substr(0, colon), inner.substr(colon + 1) };
}

bool IsSlot(const std::string& aWord)
{
  return aWord.front() == '<';
}

// Returns what a slot of this type expects when the text is none, empty text when it is one.
std::string MismatchOf(const std::string& aType, const std::string& aText)
{
  if (aType == "count" && !ParseCount(aText).has_value()) {
    return "a number up to 1000000";
  }
  if (aType == "time" && !ParseTime(aText).has_value()) {
    return "a time such as 200ms, 3s or 2min";
  }
  if (aType == "share" && !ParseShare(aText).has_value()) {
    return "a percentage from 0% to 100%";
  }
  if (aType == "name" && !IsValidName(aText)) {
    return "a name of letters, digits, '.', '_' and '-'";
  }
  if (aType == "entry" && aText != "owner" && !ParseCount(aText).has_value()) {
    return "a number or 'owner'";
  }
  if (aType == "rest" && nlohmann::json::parse(aText, nullptr, false).is_discarded()) {
    return "a JSON value";
  }
  return {};
}

// How far a line fits a form, and what is wrong behind that.
struct Match
{
  std::size_t matched = 0;
  bool complete = false;
  Step step;
  Finding problem;
};

class LineParser
{
public:
  LineParser(const std::string& aSource, std::uint32_t aLine, const std::string& aText)
    : source(aSource)
    , line(aLine)
    , text(aText)
    , words(Split(aText))
  {
  }

  bool IsEmpty() const { return this->words.empty(); }

  std::optional<Step> Parse(Findings& aFindings)
  {
    std::optional<Duration> at;
    std::size_t first = 0;
    if (this->words[0].text == "at") {
      at = this->words.size() > 1 ? ParseTime(this->words[1].text) : std::nullopt;
      if (!at.has_value()) {
        aFindings.Add(
          this->PlaceOf(1), "has no time after 'at'", "a time such as 200ms, 3s or 2min");
        return std::nullopt;
      }
      first = 2;
    }
    Match best;
    const auto consider = [&](const char* aForm) {
      Match match = this->Try(aForm, first);
      if (match.complete > best.complete ||
          (match.complete == best.complete && match.matched >= best.matched)) {
        best = std::move(match);
      }
    };
    if (at.has_value()) {
      std::for_each(std::begin(kTimedForms), std::end(kTimedForms), consider);
    } else {
      std::for_each(std::begin(kHeaderForms), std::end(kHeaderForms), consider);
    }
    if (!best.complete) {
      aFindings.Add(best.problem.place, best.problem.problem, best.problem.expected);
      return std::nullopt;
    }
    best.step.at = at;
    best.step.line = this->line;
    best.step.text = this->text;
    return best.step;
  }

private:
  Place PlaceOf(std::size_t aWord) const
  {
    const bool beyond = aWord >= this->words.size();
    const auto column =
      beyond ? static_cast<std::uint32_t>(this->text.size() + 1) : this->words[aWord].column;
    return { this->source, this->line, column, "" };
  }

  Match Fail(Match aMatch, std::size_t aWord, const std::string& aExpected) const
  {
    const bool beyond = aWord >= this->words.size();
    aMatch.problem = { this->PlaceOf(aWord),
                       beyond ? "line ends early" : "has '" + this->words[aWord].text + "'",
                       aExpected };
    return aMatch;
  }

  Match Try(const std::string& aForm, std::size_t aFirst) const
  {
    Match match;
    match.step.form = aForm;
    std::istringstream stream(aForm);
    std::string expected;
    std::size_t at = aFirst;
    while (stream >> expected) {
      if (at >= this->words.size()) {
        return this->Fail(std::move(match), at, "'" + expected + "'");
      }
      if (!IsSlot(expected)) {
        if (this->words[at].text != expected) {
          return this->Fail(std::move(match), at, "'" + expected + "'");
        }
      } else {
        const Slot slot = SlotOf(expected);
        const bool rest = slot.type == "rest";
        const std::string value =
          rest ? this->text.substr(this->words[at].column - 1) : this->words[at].text;
        if (const std::string mismatch = MismatchOf(slot.type, value); !mismatch.empty()) {
          return this->Fail(std::move(match), at, mismatch);
        }
        match.step.values[slot.name] = value;
        at = rest ? this->words.size() - 1 : at;
      }
      ++at;
      ++match.matched;
    }
    if (at < this->words.size()) {
      return this->Fail(std::move(match), at, "the end of the line");
    }
    match.complete = true;
    return match;
  }

  const std::string& source;
  std::uint32_t line;
  std::string text;
  std::vector<Word> words;
};

} // namespace

std::uint64_t Step::Number(const std::string& aSlot) const
{
  return ParseCount(this->values.at(aSlot)).value_or(0);
}

Duration Step::Time(const std::string& aSlot) const
{
  return ParseTime(this->values.at(aSlot)).value_or(Duration::zero());
}

double Step::Share(const std::string& aSlot) const
{
  return ParseShare(this->values.at(aSlot)).value_or(0.0);
}

std::optional<Script> Script::Parse(std::string_view aText,
                                    const std::string& aSource,
                                    Findings& aFindings)
{
  Findings findings;
  if (aText.size() > kMaxBytes) {
    aFindings.Add({ aSource, 0, 0, "" }, "is too large", "at most 256 KiB");
    return std::nullopt;
  }
  Script script;
  std::istringstream lines{ std::string(aText) };
  std::string line;
  std::uint32_t number = 0;
  while (std::getline(lines, line)) {
    LineParser parser(aSource, ++number, line);
    if (parser.IsEmpty()) {
      continue;
    }
    if (std::optional<Step> step = parser.Parse(findings); step.has_value()) {
      script.steps.push_back(*std::move(step));
    }
  }
  std::stable_sort(script.steps.begin(),
                   script.steps.end(),
                   [](const Step& aLeft, const Step& aRight) { return aLeft.at < aRight.at; });
  aFindings.Append(findings);
  if (!findings.empty()) {
    return std::nullopt;
  }
  return script;
}

std::vector<std::string> AllForms()
{
  std::vector<std::string> forms(std::begin(kHeaderForms), std::end(kHeaderForms));
  for (const char* form : kTimedForms) {
    forms.push_back(std::string("at <time> ") + form);
  }
  return forms;
}

} // namespace oriolespread::scenarios
