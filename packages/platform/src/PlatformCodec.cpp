#include "oriolespread/platform/PlatformCodec.h"

#include "absl/strings/str_cat.h"

#include <utility>

namespace oriolespread {

namespace {

using nlohmann::json;

// Runs a decoder and turns the exceptions of the JSON library into a status.
template<typename Decoder>
auto Guarded(const char* aWhat, Decoder aDecode) -> absl::StatusOr<decltype(aDecode())>
{
  try {
    return aDecode();
  } catch (const json::exception& error) {
    return absl::InvalidArgumentError(absl::StrCat(aWhat, ": ", error.what()));
  }
}

CommitStatus CommitStatusFromText(const std::string& aText)
{
  for (const CommitStatus status : { CommitStatus::Committed, CommitStatus::Conflict }) {
    if (ToString(status) == aText) {
      return status;
    }
  }
  return CommitStatus::Unknown;
}

TransactionFate FateFromText(const std::string& aText)
{
  for (const TransactionFate fate : { TransactionFate::Committed, TransactionFate::NotCommitted }) {
    if (ToString(fate) == aText) {
      return fate;
    }
  }
  return TransactionFate::Unknown;
}

RowWrite WriteFromJson(const json& aJson)
{
  RowWrite write;
  write.key = aJson.at("key").get<std::string>();
  if (aJson.contains("value")) {
    write.value = aJson.at("value");
  }
  return write;
}

constexpr std::pair<WorkerTaskState, const char*> kTaskStates[] = {
  { WorkerTaskState::Running, "running" },     { WorkerTaskState::Paused, "paused" },
  { WorkerTaskState::Completed, "completed" }, { WorkerTaskState::Failed, "failed" },
  { WorkerTaskState::Stopped, "stopped" },
};

const char* TaskStateText(WorkerTaskState aState)
{
  for (const auto& [state, text] : kTaskStates) {
    if (state == aState) {
      return text;
    }
  }
  return "invalid";
}

WorkerTaskState TaskStateFromText(const std::string& aText)
{
  for (const auto& [state, text] : kTaskStates) {
    if (aText == text) {
      return state;
    }
  }
  // A state that this version does not know must not be taken for an ended attempt.
  return WorkerTaskState::Running;
}

WorkerTask TaskFromJson(const json& aJson)
{
  return { aJson.at("attempt").get<AttemptId>(),
           TaskStateFromText(aJson.at("state").get<std::string>()),
           aJson.at("grant").get<Resources>(),
           aJson.at("checkpoint").get<std::string>(),
           aJson.at("reason").get<std::string>() };
}

WorkerTaskUsage UsageFromJson(const json& aJson)
{
  return { aJson.at("attempt").get<AttemptId>(),
           aJson.at("used").get<Resources>(),
           std::chrono::milliseconds(aJson.at("age_ms").get<std::int64_t>()) };
}

} // namespace

json ToJson(const Transaction& aTransaction)
{
  json conditions = json::array();
  for (const RowCondition& condition : aTransaction.conditions) {
    conditions.push_back({ { "key", condition.key }, { "version", condition.version } });
  }
  json writes = json::array();
  for (const RowWrite& write : aTransaction.writes) {
    json item = { { "key", write.key } };
    if (write.value.has_value()) {
      item["value"] = *write.value;
    }
    writes.push_back(std::move(item));
  }
  return { { "id", aTransaction.id }, { "conditions", conditions }, { "writes", writes } };
}

absl::StatusOr<Transaction> TransactionFromJson(std::string_view aText)
{
  return Guarded("transaction", [&] {
    const json parsed = json::parse(aText);
    Transaction transaction;
    transaction.id = parsed.at("id").get<TransactionId>();
    for (const json& condition : parsed.at("conditions")) {
      transaction.conditions.push_back(
        { condition.at("key").get<std::string>(), condition.at("version").get<RowVersion>() });
    }
    for (const json& write : parsed.at("writes")) {
      transaction.writes.push_back(WriteFromJson(write));
    }
    return transaction;
  });
}

json ToJson(const CommitOutcome& aOutcome)
{
  return { { "status", ToString(aOutcome.status) },
           { "version", aOutcome.version },
           { "key", aOutcome.conflictKey } };
}

absl::StatusOr<CommitOutcome> CommitOutcomeFromJson(std::string_view aText)
{
  return Guarded("commit outcome", [&] {
    const json parsed = json::parse(aText);
    return CommitOutcome{ CommitStatusFromText(parsed.at("status").get<std::string>()),
                          parsed.at("version").get<RowVersion>(),
                          parsed.at("key").get<std::string>() };
  });
}

json ToJson(const FateOutcome& aOutcome)
{
  return { { "fate", ToString(aOutcome.fate) }, { "version", aOutcome.version } };
}

absl::StatusOr<FateOutcome> FateOutcomeFromJson(std::string_view aText)
{
  return Guarded("fate", [&] {
    const json parsed = json::parse(aText);
    return FateOutcome{ FateFromText(parsed.at("fate").get<std::string>()),
                        parsed.at("version").get<RowVersion>() };
  });
}

json ToJson(const ScanPage& aPage)
{
  json rows = json::array();
  for (const Row& row : aPage.rows) {
    rows.push_back({ { "key", row.key }, { "version", row.version }, { "value", row.value } });
  }
  return { { "rows", rows }, { "more", aPage.more } };
}

absl::StatusOr<ScanPage> ScanPageFromJson(std::string_view aText)
{
  return Guarded("scan page", [&] {
    const json parsed = json::parse(aText);
    ScanPage page;
    page.more = parsed.at("more").get<bool>();
    for (const json& row : parsed.at("rows")) {
      page.rows.push_back(
        { row.at("key").get<std::string>(), row.at("version").get<RowVersion>(), row.at("value") });
    }
    return page;
  });
}

json ToJson(const WorkerTaskStart& aStart)
{
  return { { "attempt", aStart.attempt },
           { "program", aStart.program },
           { "arguments", aStart.arguments },
           { "checkpoint", aStart.checkpoint },
           { "grant", aStart.grant } };
}

absl::StatusOr<WorkerTaskStart> WorkerTaskStartFromJson(const json& aJson)
{
  return Guarded("task start", [&] {
    return WorkerTaskStart{ aJson.at("attempt").get<AttemptId>(),
                            aJson.at("program").get<std::string>(),
                            aJson.at("arguments").get<std::string>(),
                            aJson.at("checkpoint").get<std::string>(),
                            aJson.at("grant").get<Resources>() };
  });
}

json ToJson(const WorkerTask& aTask)
{
  return { { "attempt", aTask.attempt },
           { "state", TaskStateText(aTask.state) },
           { "grant", aTask.grant },
           { "checkpoint", aTask.checkpoint },
           { "reason", aTask.reason } };
}

absl::StatusOr<std::vector<WorkerTask>> WorkerTasksFromJson(std::string_view aText)
{
  return Guarded("worker tasks", [&] {
    std::vector<WorkerTask> tasks;
    for (const json& task : json::parse(aText)) {
      tasks.push_back(TaskFromJson(task));
    }
    return tasks;
  });
}

json ToJson(const WorkerTaskUsage& aUsage)
{
  return { { "attempt", aUsage.attempt },
           { "used", aUsage.used },
           { "age_ms", ToMilliseconds(aUsage.age) } };
}

absl::StatusOr<std::vector<WorkerTaskUsage>> WorkerUsageFromJson(std::string_view aText)
{
  return Guarded("worker usage", [&] {
    std::vector<WorkerTaskUsage> usage;
    for (const json& item : json::parse(aText)) {
      usage.push_back(UsageFromJson(item));
    }
    return usage;
  });
}

} // namespace oriolespread
