// Reads one TOML table strictly into typed values. Each Read takes a key's value when it is there
// and right, leaves the target as it was when the key is absent, and adds a finding otherwise.
// Keys that were never read are findings of Finish:
//
//   SettingsReader reader(document.root, "", source, findings);
//   SettingsReader log = reader.Section("log");
//   log.ReadChoice("level", settings.level, kLevels);
//   log.Finish();
//   reader.Finish();
#pragma once

#include "oriolespread/base/Findings.h"
#include "oriolespread/base/Ids.h"
#include "oriolespread/base/SocketAddress.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/settings/TomlDocument.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolespread::internal {

enum class Presence
{
  Optional,
  Required,
};

template<typename T>
struct Range
{
  T low;
  T high;
};

template<typename T>
struct Choice
{
  std::string_view name;
  T value;
};

class SettingsReader
{
public:
  // All arguments must outlive the reader. `aPath` names the table, empty for the whole document.
  // `aOrigin` is where keys are reported that the table lacks.
  SettingsReader(const toml::table& aTable,
                 toml::source_position aOrigin,
                 std::string aPath,
                 const std::string& aSource,
                 Findings& aFindings);

  // Returns a reader of a table within; an empty one when it is absent.
  SettingsReader Section(std::string_view aKey, Presence aPresence = Presence::Optional);
  // Returns a reader for each table of an array of tables.
  std::vector<SettingsReader> Sections(std::string_view aKey);

  void ReadText(std::string_view aKey, std::string& aTarget, Presence aPresence);
  void ReadDuration(std::string_view aKey, Duration& aTarget, Range<Duration> aRange);
  void ReadSize(std::string_view aKey,
                std::uint64_t& aTarget,
                Range<std::uint64_t> aRange,
                Presence aPresence = Presence::Optional);
  void ReadInteger(std::string_view aKey, std::uint32_t& aTarget, Range<std::uint32_t> aRange);
  // Accepts integers too.
  void ReadNumber(std::string_view aKey,
                  double& aTarget,
                  Range<double> aRange,
                  Presence aPresence = Presence::Optional);
  // Returns whether the key is there and right.
  bool ReadAddress(std::string_view aKey, SocketAddress& aTarget, Presence aPresence);
  // The items of an array of texts; the path of an item is "key[index]".
  std::vector<std::pair<std::string, Place>> ReadTexts(std::string_view aKey, Presence aPresence);

  template<typename Tag>
  void ReadName(std::string_view aKey, StrongType<Tag, std::string>& aTarget, Presence aPresence)
  {
    std::string name;
    if (this->ReadValidName(aKey, name, aPresence)) {
      aTarget = StrongType<Tag, std::string>(std::move(name));
    }
  }

  template<typename T, std::size_t Count>
  void ReadChoice(std::string_view aKey, T& aTarget, const Choice<T> (&aChoices)[Count])
  {
    const auto* text = this->Text(aKey, Presence::Optional, ChoiceForm(aChoices));
    if (text == nullptr) {
      return;
    }
    for (const Choice<T>& choice : aChoices) {
      if (choice.name == *text) {
        aTarget = choice.value;
        return;
      }
    }
    this->Complain(aKey, "is \"" + *text + "\"", ChoiceForm(aChoices));
  }

  bool Has(std::string_view aKey) const;
  // Returns the keys that are there, in order.
  std::vector<std::string> Keys() const;
  // Returns where a key stands, or where the table does when the key is absent.
  Place PlaceOf(std::string_view aKey) const;
  // Adds a finding at a key.
  void Complain(std::string_view aKey, std::string aProblem, std::string aExpected = {});
  // Adds a finding at an item that ReadTexts returned.
  void ComplainAt(const Place& aPlace, std::string aProblem, std::string aExpected);
  // Adds a finding for each key that was not read.
  void Finish();

private:
  template<typename T, std::size_t Count>
  static std::string ChoiceForm(const Choice<T> (&aChoices)[Count])
  {
    std::string form = "one of";
    for (const Choice<T>& choice : aChoices) {
      form += " \"" + std::string(choice.name) + "\"";
    }
    return form;
  }

  const toml::node* Take(std::string_view aKey, Presence aPresence, const std::string& aExpected);
  const std::string* Text(std::string_view aKey, Presence aPresence, const std::string& aExpected);
  bool ReadValidName(std::string_view aKey, std::string& aTarget, Presence aPresence);
  std::string PathOf(std::string_view aKey) const;
  Place PlaceAt(toml::source_position aPosition, std::string aPath) const;

  const toml::table* table;
  toml::source_position origin;
  std::string path;
  const std::string* source;
  Findings* findings;
  std::set<std::string, std::less<>> known;
};

} // namespace oriolespread::internal
