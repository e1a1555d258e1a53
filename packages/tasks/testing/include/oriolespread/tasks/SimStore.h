// A simulated table service and object store with outages, delays, and lost requests and responses.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/platform/MemoryTable.h"
#include "oriolespread/tasks/OwnerTypes.h"
#include "oriolespread/tasks/SimClock.h"

#include <map>
#include <string>

namespace oriolespread::sim {

// Defects that are introduced on purpose, to test that the invariant checks detect them.
struct InjectedDefects
{
  // Removes the conditions from the transactions of shard owners.
  bool dropConditions = false;
  // Reports commits with an unknown outcome as not applied, so that owners write again without
  // reading the transaction's fate.
  bool retryUnknownCommits = false;
  double driftMargin = 0.02;
};

class SimStore
{
public:
  using Reply = std::function<void(OwnerEvent)>;

  SimStore(EventQueue& aQueue, RandomSource& aRandom, const InjectedDefects& aDefects)
    : queue(aQueue)
    , random(aRandom)
    , defects(aDefects)
  {
  }

  bool down = false;
  Duration delay = milliseconds(5);
  // Probability that the request of a commit is lost, and likewise its response.
  double loss = 0.0;
  MemoryTable table;
  std::map<std::string, std::string> objects;
  // Called once for each transaction, when it is first applied.
  std::function<void(const Transaction&)> onApplied;
  std::uint64_t commits = 0;
  std::uint64_t rowWrites = 0;

  void Execute(const CommitCall& aCall, const Reply& aReply)
  {
    const auto answer = [call = aCall.call, aReply](CommitOutcome aOutcome) {
      aReply(CommitResult{ call, std::move(aOutcome) });
    };
    if (this->down && this->random.Chance(0.5)) {
      this->RunAfterDelay([answer] { answer({ CommitStatus::Unavailable, {}, {} }); });
      return;
    }
    const bool requestLost = this->down || this->random.Chance(this->loss);
    const bool answerLost = requestLost || this->random.Chance(this->loss);
    const bool late = this->random.Chance(0.5);
    this->RunAfterDelay(
      [this, answer, requestLost, answerLost, late, transaction = aCall.transaction] {
        const auto apply = [this, transaction] { return this->Apply(transaction); };
        if (requestLost && late) {
          // The request arrives after the writer has given up waiting.
          this->queue.After(this->random.Between({}, seconds(3)), [apply] { apply(); });
        }
        const CommitOutcome outcome = requestLost ? CommitOutcome{} : apply();
        this->RunAfterDelay([this, answer, answerLost, outcome] {
          CommitOutcome lost;
          lost.status =
            this->defects.retryUnknownCommits ? CommitStatus::Unavailable : CommitStatus::Unknown;
          answer(answerLost ? lost : outcome);
        });
      });
  }

  void Execute(const FateCall& aCall, const Reply& aReply)
  {
    this->RunAfterDelay([this, aCall, aReply] {
      const bool lost = this->down || this->random.Chance(this->loss);
      const FateOutcome fate = lost ? FateOutcome{} : this->table.ReadFate(aCall.transaction);
      this->RunAfterDelay([aCall, aReply, fate] { aReply(FateResult{ aCall.call, fate }); });
    });
  }

  void Execute(const ScanCall& aCall, const Reply& aReply)
  {
    this->RunAfterDelay([this, aCall, aReply] {
      absl::StatusOr<ScanPage> page = absl::UnavailableError("the store is down");
      if (!this->down) {
        page = this->table.Scan(aCall.prefix, aCall.after, aCall.limit);
      }
      this->RunAfterDelay([aCall, aReply, page] { aReply(ScanResult{ aCall.call, page }); });
    });
  }

  void Execute(const PutObjectCall& aCall, const Reply& aReply)
  {
    this->RunAfterDelay([this, aCall, aReply] {
      if (!this->down) {
        this->objects[aCall.name] = aCall.content;
      }
      aReply(ObjectWriteResult{ aCall.call, this->Status() });
    });
  }

  void Execute(const GetObjectCall& aCall, const Reply& aReply)
  {
    this->RunAfterDelay([this, aCall, aReply] {
      absl::StatusOr<std::string> content = absl::UnavailableError("the store is down");
      if (!this->down) {
        const auto it = this->objects.find(aCall.name);
        content = it == this->objects.end() ? absl::StatusOr<std::string>(absl::NotFoundError(""))
                                            : it->second;
      }
      aReply(ObjectReadResult{ aCall.call, content });
    });
  }

  void Execute(const DeleteObjectCall& aCall, const Reply& aReply)
  {
    this->RunAfterDelay([this, aCall, aReply] {
      if (!this->down) {
        this->objects.erase(aCall.name);
      }
      aReply(ObjectWriteResult{ aCall.call, this->Status() });
    });
  }

  CommitOutcome Apply(Transaction aTransaction)
  {
    if (this->defects.dropConditions && aTransaction.id.Value().starts_with("entry")) {
      aTransaction.conditions.clear();
    }
    const CommitOutcome outcome = this->table.Commit(aTransaction);
    if (outcome.status == CommitStatus::Committed && outcome.version > this->lastVersion) {
      this->lastVersion = outcome.version;
      ++this->commits;
      this->rowWrites += aTransaction.writes.size();
      this->onApplied(aTransaction);
    }
    return outcome;
  }

private:
  absl::Status Status() const
  {
    return this->down ? absl::UnavailableError("the store is down") : absl::OkStatus();
  }
  void RunAfterDelay(std::function<void()> aRun)
  {
    this->queue.After(this->random.Between(this->delay / 4, this->delay / 2), std::move(aRun));
  }

  EventQueue& queue;
  RandomSource& random;
  InjectedDefects defects;
  RowVersion lastVersion;
};

} // namespace oriolespread::sim
