#include "oriolespread/platform/HttpTable.h"

#include "HttpClient.h"

#include "oriolespread/platform/HttpError.h"
#include "oriolespread/platform/PlatformCodec.h"

#include <string>

namespace oriolespread {

namespace {

constexpr const char* kJson = "application/json";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

} // namespace

HttpTable::HttpTable(const SocketAddress& aAddress, Duration aTimeout)
  : client(internal::MakeClient(aAddress, aTimeout))
{
}

HttpTable::~HttpTable() = default;
HttpTable::HttpTable(HttpTable&&) noexcept = default;

CommitOutcome HttpTable::Commit(const Transaction& aTransaction)
{
  const auto result = this->client->Post("/v1/transactions", ToJson(aTransaction).dump(), kJson);
  if (!result) {
    const bool notSent = SurelyNotSent(result.error());
    return { notSent ? CommitStatus::Unavailable : CommitStatus::Unknown, {}, {} };
  }
  if (result->status == kUnavailable) {
    return { CommitStatus::Unavailable, {}, {} };
  }
  if (result->status != kOk) {
    return { CommitStatus::Unknown, {}, {} };
  }
  return CommitOutcomeFromJson(result->body).value_or(CommitOutcome{});
}

FateOutcome HttpTable::ReadFate(const TransactionId& aId)
{
  const nlohmann::json body = { { "id", aId } };
  const auto result = this->client->Post("/v1/fates", body.dump(), kJson);
  if (!result || result->status != kOk) {
    return {};
  }
  return FateOutcomeFromJson(result->body).value_or(FateOutcome{});
}

absl::StatusOr<ScanPage> HttpTable::Scan(const std::string& aPrefix,
                                         const std::string& aAfter,
                                         std::size_t aLimit)
{
  const httplib::Params query = { { "prefix", aPrefix },
                                  { "after", aAfter },
                                  { "limit", std::to_string(aLimit) } };
  const auto result = this->client->Get("/v1/rows", query, httplib::Headers{});
  if (const absl::Status status = internal::ToStatus(result); !status.ok()) {
    return status;
  }
  return ScanPageFromJson(result->body);
}

} // namespace oriolespread
