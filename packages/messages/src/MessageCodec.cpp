#include "oriolespread/messages/MessageCodec.h"

#include "absl/status/status.h"
#include "absl/strings/str_cat.h"

#include "oriolespread/base/ExternalJson.h"

#include <array>
#include <optional>
#include <utility>

namespace oriolespread {

namespace {

// Names in the order of the alternatives of LinkMessage; they are part of the protocol.
constexpr std::array<std::string_view, std::variant_size_v<LinkMessage>> kNames = {
  "announce",      "load_report",     "leave",        "credit_grant",  "credit_demand",
  "latency",       "heartbeat",       "lease_grant",  "task_event",    "task_event_ack",
  "start_task",    "task_command",    "usage_report", "ticket_update", "entry_directory",
  "worker_report", "lease_extension", "leader_claim", "worker_orders",
};

constexpr const char* kTypeKey = "t";
constexpr const char* kBodyKey = "b";
// The fields of messages that may have floating-point numbers: `disturbance` of lease_extension,
// and `value` of ticket_update, whose readers check the type of each number.
const std::initializer_list<std::string_view> kFloatingPointKeys = { "disturbance", "value" };

template<std::size_t... Indexes>
std::optional<LinkMessage> Parse(std::string_view aName,
                                 const nlohmann::json& aBody,
                                 std::index_sequence<Indexes...> /*aSequence*/)
{
  std::optional<LinkMessage> result;
  const auto tryOne = [&]<std::size_t Index>() {
    if (kNames[Index] == aName) {
      result.emplace(aBody.get<std::variant_alternative_t<Index, LinkMessage>>());
    }
  };
  (tryOne.template operator()<Indexes>(), ...);
  return result;
}

} // namespace

std::string EncodeMessage(const LinkMessage& aMessage)
{
  nlohmann::json envelope;
  envelope[kTypeKey] = MessageName(aMessage);
  envelope[kBodyKey] =
    std::visit([](const auto& aBody) { return nlohmann::json(aBody); }, aMessage);
  std::string bytes;
  nlohmann::json::to_msgpack(envelope, bytes);
  return bytes;
}

absl::StatusOr<LinkMessage> DecodeMessage(std::string_view aBytes)
{
  if (aBytes.size() > kMaxMessageBytes) {
    return absl::InvalidArgumentError(absl::StrCat("message has ", aBytes.size(), " bytes"));
  }
  const auto parsed = ParseMessagePack(aBytes);
  if (!parsed.ok()) {
    return absl::InvalidArgumentError(absl::StrCat("message is ", parsed.status().message()));
  }
  const nlohmann::json& envelope = *parsed;
  if (!envelope.is_object() || !envelope.contains(kTypeKey) || !envelope.contains(kBodyKey) ||
      !envelope[kTypeKey].is_string()) {
    return absl::InvalidArgumentError("message is not a MessagePack map with type and body");
  }
  const std::string& name = envelope[kTypeKey].get_ref<const std::string&>();
  if (HasFloatingPoint(envelope[kBodyKey], kFloatingPointKeys)) {
    return absl::InvalidArgumentError(
      absl::StrCat("message ", name, ": a floating-point number in place of an integer"));
  }
  try {
    std::optional<LinkMessage> message =
      Parse(name, envelope[kBodyKey], std::make_index_sequence<std::variant_size_v<LinkMessage>>{});
    if (message.has_value()) {
      return *std::move(message);
    }
  } catch (const nlohmann::json::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat("message ", name, ": ", error.what()));
  }
  return absl::InvalidArgumentError(absl::StrCat("message of unknown type '", name, "'"));
}

std::string_view MessageName(const LinkMessage& aMessage)
{
  return kNames[aMessage.index()];
}

} // namespace oriolespread
