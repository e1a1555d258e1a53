// Submission, cancellation and queries of jobs.

#include "JobView.h"

#include "oriolespread/service/ControlDriver.h"

#include <utility>

namespace oriolespread {

namespace {

// A commit whose answer was lost is asked for at most this often before the caller is told that its
// fate is not known.
constexpr int kFateReads = 5;
constexpr Duration kFateInterval = std::chrono::milliseconds(200);

JobAnswer AnswerOf(JobAnswerStatus aStatus)
{
  return { aStatus, nullptr, {} };
}

JobAnswerStatus StatusOf(const CommitOutcome& aOutcome)
{
  switch (aOutcome.status) {
    case CommitStatus::Committed:
      return JobAnswerStatus::Ok;
    case CommitStatus::Conflict:
      return JobAnswerStatus::Exists;
    case CommitStatus::Unavailable:
      return JobAnswerStatus::StoreUnavailable;
    case CommitStatus::Unknown:
      return JobAnswerStatus::Unknown;
  }
  return JobAnswerStatus::Unknown;
}

} // namespace

void ControlDriver::SubmitJob(JobSpec aSpec, const std::function<void(const JobAnswer&)>& aDone)
{
  const bool posted = this->loop.TryPost([this, spec = std::move(aSpec), aDone] {
    const ShardId shard = ShardsOfJob(spec.job, this->options.shards.count).first;
    const Transaction submit =
      MakeSubmitTransaction(this->NextTransactionId("submit"), shard, spec);
    this->CommitKnown(
      submit, [aDone](const CommitOutcome& aOutcome) { aDone(AnswerOf(StatusOf(aOutcome))); });
  });
  if (!posted) {
    aDone(AnswerOf(JobAnswerStatus::Busy));
  }
}

void ControlDriver::CancelJob(CancelRequest aRequest,
                              const std::function<void(const JobAnswer&)>& aDone)
{
  const bool posted = this->loop.TryPost([this, request = std::move(aRequest), aDone] {
    this->FindShardOfJob(
      request.job, [this, request, aDone](const absl::StatusOr<ShardId>& aShard) {
        if (!aShard.ok()) {
          aDone(AnswerOf(absl::IsNotFound(aShard.status()) ? JobAnswerStatus::NotFound
                                                           : JobAnswerStatus::StoreUnavailable));
          return;
        }
        const Transaction cancel =
          MakeCancelTransaction(this->NextTransactionId("cancel"), *aShard, request);
        this->CommitKnown(cancel, [aDone](const CommitOutcome& aOutcome) {
          // A conflict means that the same cancellation is recorded already.
          const JobAnswerStatus status = StatusOf(aOutcome);
          aDone(AnswerOf(status == JobAnswerStatus::Exists ? JobAnswerStatus::Ok : status));
        });
      });
  });
  if (!posted) {
    aDone(AnswerOf(JobAnswerStatus::Busy));
  }
}

void ControlDriver::ShowJob(JobId aJob,
                            const OrganisationId& aOrganisation,
                            const std::function<void(const JobAnswer&)>& aDone)
{
  const bool posted = this->loop.TryPost([this, job = std::move(aJob), aOrganisation, aDone] {
    this->FindShardOfJob(
      job, [this, job, aOrganisation, aDone](const absl::StatusOr<ShardId>& aShard) {
        if (aShard.ok()) {
          aDone(this->AnswerFromOwner(aShard->Value(), job, aOrganisation));
          return;
        }
        aDone(AnswerOf(absl::IsNotFound(aShard.status()) ? JobAnswerStatus::NotFound
                                                         : JobAnswerStatus::StoreUnavailable));
      });
  });
  if (!posted) {
    aDone(AnswerOf(JobAnswerStatus::Busy));
  }
}

JobAnswer ControlDriver::AnswerFromOwner(std::size_t aShard,
                                         const JobId& aJob,
                                         const OrganisationId& aOrganisation) const
{
  const Owner& owner = *this->shards[aShard].owner;
  if (owner.Role() == OwnerRole::Observing) {
    if (!owner.LastSeenOwner().has_value()) {
      return AnswerOf(JobAnswerStatus::NoOwner);
    }
    return { JobAnswerStatus::Elsewhere, nullptr, owner.LastSeenOwner()->address };
  }
  if (owner.Role() == OwnerRole::Claiming || owner.Role() == OwnerRole::Loading) {
    return AnswerOf(JobAnswerStatus::NoOwner);
  }
  const auto view = owner.FindJob(aJob);
  if (!view.has_value()) {
    // The submission is recorded and waits in the inbox.
    return { JobAnswerStatus::Ok, internal::WaitingJobToJson(aJob), {} };
  }
  if (view->job->spec.organisation != aOrganisation) {
    return AnswerOf(JobAnswerStatus::NotFound);
  }
  return { JobAnswerStatus::Ok, internal::JobToJson(*view), {} };
}

void ControlDriver::FindShardOfJob(const JobId& aJob,
                                   std::function<void(const absl::StatusOr<ShardId>&)> aDone)
{
  const std::string key = JobKey(aJob);
  this->store.Scan(
    key, "", 1, [this, key, aDone = std::move(aDone)](const absl::StatusOr<ScanPage>& aPage) {
      if (!aPage.ok()) {
        aDone(aPage.status());
        return;
      }
      if (aPage->rows.empty() || aPage->rows.front().key != key) {
        aDone(absl::NotFoundError("no such job"));
        return;
      }
      const std::optional<ShardId> shard = ParseJobRow(aPage->rows.front().value);
      if (!shard.has_value() || shard->Value() >= this->shards.size()) {
        aDone(absl::InternalError("row of the job is not valid"));
        return;
      }
      aDone(*shard);
    });
}

void ControlDriver::CommitKnown(const Transaction& aTransaction,
                                std::function<void(const CommitOutcome&)> aDone)
{
  this->store.Commit(
    aTransaction,
    [this, id = aTransaction.id, aDone = std::move(aDone)](const CommitOutcome& aOutcome) {
      if (aOutcome.status == CommitStatus::Unknown) {
        this->ResolveFate(id, kFateReads, aDone);
        return;
      }
      aDone(aOutcome);
    });
}

void ControlDriver::ResolveFate(const TransactionId& aId,
                                int aReadsLeft,
                                const std::function<void(const CommitOutcome&)>& aDone)
{
  this->store.ReadFate(aId, [this, aId, aReadsLeft, aDone](const FateOutcome& aFate) {
    if (aFate.fate == TransactionFate::Committed) {
      aDone({ CommitStatus::Committed, aFate.version, {} });
    } else if (aFate.fate == TransactionFate::NotCommitted) {
      aDone({ CommitStatus::Unavailable, {}, {} });
    } else if (aReadsLeft <= 1) {
      aDone({ CommitStatus::Unknown, {}, {} });
    } else {
      this->loop.After(kFateInterval, [this, aId, aReadsLeft, aDone] {
        this->ResolveFate(aId, aReadsLeft - 1, aDone);
      });
    }
  });
}

} // namespace oriolespread
