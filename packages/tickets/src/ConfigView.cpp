#include "oriolespread/tickets/ConfigView.h"

#include "absl/strings/str_cat.h"

#include <type_traits>
#include <unordered_set>

namespace oriolespread {

namespace {

// Number, names and framing of one state in a message.
constexpr std::size_t kStateOverhead = 32;

std::size_t BytesOf(const ConfigState& aState)
{
  const std::string value =
    aState.value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return kStateOverhead + aState.key.size() + value.size();
}

Place PlaceOf(const ConfigState& aState)
{
  return { "update", 0, 0, aState.key };
}

void CheckUpdate(const TicketUpdate& aUpdate, Findings& aFindings)
{
  if (aUpdate.from > aUpdate.number) {
    aFindings.Add({ "update", 0, 0, "from" }, "is above number", "at most number");
  }
  std::unordered_set<std::string> keys;
  for (const ConfigState& state : aUpdate.states) {
    if (state.number <= aUpdate.from || state.number > aUpdate.number) {
      aFindings.Add(
        PlaceOf(state),
        absl::StrCat("has number ", state.number.Value()),
        absl::StrCat(
          "a number above ", aUpdate.from.Value(), " and at most ", aUpdate.number.Value()));
    }
    if (!keys.insert(state.key).second) {
      aFindings.Add(PlaceOf(state), "is there twice", "each key once");
    }
  }
}

template<typename Map, typename Key>
const typename Map::mapped_type* FindIn(const Map& aMap, const Key& aKey)
{
  const auto it = aMap.find(aKey);
  return it == aMap.end() ? nullptr : &it->second;
}

} // namespace

TicketUpdate MakeStateRequest()
{
  return {};
}

ApplyResult ConfigView::Apply(const TicketUpdate& aUpdate)
{
  ApplyResult result;
  CheckUpdate(aUpdate, result.findings);
  if (!result.findings.empty()) {
    return result;
  }
  if (aUpdate.number == TicketNumber{}) {
    result.status = ApplyStatus::StateRequested;
    return result;
  }
  if (aUpdate.number <= this->number) {
    result.status = ApplyStatus::AlreadyKnown;
    return result;
  }
  if (aUpdate.from > this->number) {
    result.status = ApplyStatus::Gap;
    return result;
  }
  std::map<std::string, ConfigState> previous;
  if (aUpdate.from == TicketNumber{}) {
    previous.swap(this->states);
    this->order.clear();
    this->stateBytes = 0;
  }
  for (const ConfigState& state : aUpdate.states) {
    this->SetState(state, result);
  }
  for (const auto& [key, state] : previous) {
    if (!this->states.contains(key)) {
      this->SetValue({ key, aUpdate.number, nullptr }, result.findings);
      result.changedKeys.push_back(key);
    }
  }
  this->number = aUpdate.number;
  result.status = ApplyStatus::Applied;
  return result;
}

TicketUpdate ConfigView::UpdateFrom(TicketNumber aFrom) const
{
  TicketUpdate update;
  update.from = aFrom < this->number ? aFrom : TicketNumber{};
  update.number = this->number;
  const std::pair<TicketNumber, std::string> start{ TicketNumber{ update.from.Value() + 1 }, {} };
  for (auto it = this->order.lower_bound(start); it != this->order.end(); ++it) {
    update.states.push_back(this->states.at(it->second));
  }
  return update;
}

const OrganisationConfig* ConfigView::FindOrganisation(const OrganisationId& aOrganisation) const
{
  return FindIn(this->organisations, aOrganisation);
}

const ServiceConfig* ConfigView::FindService(const OrganisationId& aOrganisation,
                                             const ServiceName& aService) const
{
  return FindIn(this->services, ServiceId{ aOrganisation, aService });
}

const QuotaConfig* ConfigView::FindQuota(const TeamId& aTeam) const
{
  return FindIn(this->quotas, aTeam);
}

const WorkerConfig* ConfigView::FindWorker(const WorkerId& aWorker) const
{
  return FindIn(this->workers, aWorker);
}

const RequestPolicyConfig* ConfigView::FindRequestPolicy() const
{
  return this->requestPolicy.has_value() ? &*this->requestPolicy : nullptr;
}

const TaskPolicyConfig* ConfigView::FindTaskPolicy() const
{
  return this->taskPolicy.has_value() ? &*this->taskPolicy : nullptr;
}

const ConfigState* ConfigView::FindState(const std::string& aKey) const
{
  return FindIn(this->states, aKey);
}

void ConfigView::SetState(const ConfigState& aState, ApplyResult& aResult)
{
  const auto [it, inserted] = this->states.try_emplace(aState.key, aState);
  if (!inserted) {
    if (it->second.number >= aState.number) {
      return;
    }
    this->stateBytes -= BytesOf(it->second);
    this->order.erase({ it->second.number, aState.key });
    it->second = aState;
  }
  this->stateBytes += BytesOf(aState);
  this->order.emplace(aState.number, aState.key);
  this->SetValue(aState, aResult.findings);
  aResult.changedKeys.push_back(aState.key);
}

void ConfigView::SetValue(const ConfigState& aState, Findings& aFindings)
{
  const auto key = ConfigKey::Parse(aState.key);
  if (!key.has_value()) {
    aFindings.Add(PlaceOf(aState), "is not a known key");
    return;
  }
  std::optional<ConfigValue> value;
  if (!aState.value.is_null()) {
    value = ParseConfigValue(key->kind, aState.value, PlaceOf(aState), aFindings);
    if (!value.has_value()) {
      return;
    }
  }
  const auto set = [&value]<typename Map, typename Key>(Map& aMap, const Key& aKey) {
    if (value.has_value()) {
      aMap.insert_or_assign(aKey, std::get<typename Map::mapped_type>(*value));
    } else {
      aMap.erase(aKey);
    }
  };
  switch (key->kind) {
    case ConfigKind::Organisation:
      set(this->organisations, OrganisationId{ key->name });
      break;
    case ConfigKind::Service:
      set(this->services, ServiceId{ OrganisationId{ key->name }, ServiceName{ key->service } });
      break;
    case ConfigKind::Quota:
      set(this->quotas, TeamId{ key->name });
      break;
    case ConfigKind::Worker:
      set(this->workers, WorkerId{ key->name });
      break;
    case ConfigKind::RequestPolicy:
      this->requestPolicy =
        value.has_value() ? std::optional(std::get<RequestPolicyConfig>(*value)) : std::nullopt;
      break;
    case ConfigKind::TaskPolicy:
      this->taskPolicy =
        value.has_value() ? std::optional(std::get<TaskPolicyConfig>(*value)) : std::nullopt;
      break;
  }
}

} // namespace oriolespread
