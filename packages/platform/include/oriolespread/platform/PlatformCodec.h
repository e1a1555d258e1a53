// JSON forms of the table service's and the worker's HTTP interfaces, shared by the clients and by
// the stand-in services. Decoders accept any input and never throw; their error says what is wrong.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/platform/CommitOutcome.h"
#include "oriolespread/platform/TableServicePort.h"
#include "oriolespread/platform/WorkerPort.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace oriolespread {

nlohmann::json ToJson(const Transaction& aTransaction);
absl::StatusOr<Transaction> TransactionFromJson(std::string_view aText);

nlohmann::json ToJson(const CommitOutcome& aOutcome);
absl::StatusOr<CommitOutcome> CommitOutcomeFromJson(std::string_view aText);

nlohmann::json ToJson(const FateOutcome& aOutcome);
absl::StatusOr<FateOutcome> FateOutcomeFromJson(std::string_view aText);

nlohmann::json ToJson(const ScanPage& aPage);
absl::StatusOr<ScanPage> ScanPageFromJson(std::string_view aText);

nlohmann::json ToJson(const WorkerTaskStart& aStart);
absl::StatusOr<WorkerTaskStart> WorkerTaskStartFromJson(const nlohmann::json& aJson);

nlohmann::json ToJson(const WorkerTask& aTask);
absl::StatusOr<std::vector<WorkerTask>> WorkerTasksFromJson(std::string_view aText);

nlohmann::json ToJson(const WorkerTaskUsage& aUsage);
absl::StatusOr<std::vector<WorkerTaskUsage>> WorkerUsageFromJson(std::string_view aText);

} // namespace oriolespread
