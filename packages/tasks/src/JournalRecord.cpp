#include "oriolespread/tasks/JournalRecord.h"

namespace oriolespread {

namespace {

using nlohmann::json;

// Records are encoded as arrays rather than objects to keep them small: the journal holds one to
// three records for each task.
json Encode(const AttemptId& aId)
{
  return json::array({ aId.task.job, aId.task.index, aId.token.epoch, aId.token.counter });
}

AttemptId DecodeAttempt(const json& aValue)
{
  AttemptId id;
  id.task.job = aValue.at(0).get<JobId>();
  id.task.index = aValue.at(1).get<std::uint32_t>();
  id.token.epoch = aValue.at(2).get<Epoch>();
  id.token.counter = aValue.at(3).get<std::uint64_t>();
  return id;
}

json Encode(const Resources& aAmount)
{
  return json::array({ aAmount.milliCores, aAmount.memoryMiB, aAmount.accelerators });
}

Resources DecodeResources(const json& aValue)
{
  return { aValue.at(0).get<std::int64_t>(),
           aValue.at(1).get<std::int64_t>(),
           aValue.at(2).get<std::int64_t>() };
}

json Encode(const JobSubmitted& aRecord)
{
  return json::array({ "submit", aRecord.spec });
}

json Encode(const TasksCancelled& aRecord)
{
  return json::array({ "cancel", aRecord.job, aRecord.tasks });
}

json Encode(const TaskPlaced& aRecord)
{
  return json::array({ "place", Encode(aRecord.attempt), aRecord.worker, Encode(aRecord.grant) });
}

json Encode(const TaskProgressed& aRecord)
{
  return json::array({ "progress", Encode(aRecord.attempt), aRecord.checkpoint });
}

json Encode(const GrantChanged& aRecord)
{
  return json::array({ "grant", Encode(aRecord.attempt), Encode(aRecord.grant) });
}

json Encode(const AttemptEnded& aRecord)
{
  return json::array(
    { "end", Encode(aRecord.attempt), aRecord.end, aRecord.checkpoint, aRecord.reason });
}

json Encode(const ReplicaReplaced& aRecord)
{
  return json::array({ "replace", Encode(aRecord.attempt) });
}

JournalRecord Decode(const json& aValue)
{
  const auto kind = aValue.at(0).get<std::string>();
  if (kind == "submit") {
    return JobSubmitted{ aValue.at(1).get<JobSpec>() };
  }
  if (kind == "cancel") {
    return TasksCancelled{ aValue.at(1).get<JobId>(),
                           aValue.at(2).get<std::vector<std::uint32_t>>() };
  }
  const AttemptId attempt = DecodeAttempt(aValue.at(1));
  if (kind == "place") {
    return TaskPlaced{ attempt, aValue.at(2).get<WorkerId>(), DecodeResources(aValue.at(3)) };
  }
  if (kind == "progress") {
    return TaskProgressed{ attempt, aValue.at(2).get<std::string>() };
  }
  if (kind == "grant") {
    return GrantChanged{ attempt, DecodeResources(aValue.at(2)) };
  }
  if (kind == "replace") {
    return ReplicaReplaced{ attempt };
  }
  return AttemptEnded{ attempt,
                       aValue.at(2).get<AttemptEnd>(),
                       aValue.at(3).get<std::string>(),
                       aValue.at(4).get<std::string>() };
}

} // namespace

nlohmann::json EncodeRecord(const JournalRecord& aRecord)
{
  return std::visit([](const auto& aBody) { return Encode(aBody); }, aRecord);
}

std::optional<JournalRecord> DecodeRecord(const nlohmann::json& aValue)
{
  try {
    return Decode(aValue);
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace oriolespread
