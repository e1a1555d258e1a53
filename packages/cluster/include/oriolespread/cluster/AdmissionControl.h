// Decides whether an entry refuses a new job because it cannot end in time to be useful.
//
// Answers a backlog so long that a new job would end later than three times its objective. The
// result then has no value for the caller, while the work of the job would delay jobs that can
// still be in time. Without I/O and without a clock; the callers must not be told of a refusal
// before the store was asked whether the job is stored.
//
//   const AdmissionDecision decision = admission.Decide(request, publishedWait, now);
//   if (decision.refused) { answer 503 with decision.retryAfterSeconds; }
#pragma once

#include "oriolespread/cluster/ExpectedWaits.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace oriolespread::cluster {

struct AdmissionSettings
{
  // Multiple of its objective after which the end of a job is of no use to its caller. Refusing
  // begins when the expected end is later.
  double refuseFactor = 3.0;
  // Refusing stops when the expected end is earlier than this multiple. The distance keeps a wait
  // that varies around the first threshold from switching with each job.
  double acceptFactor = 2.0;
  // An older wait refuses nothing. The leader renews its row, and each entry reads it, several
  // times in this period, so that an older one shows that the leader or the store is in trouble.
  Duration maxAge = std::chrono::seconds(2);
};

// A new job that may be refused.
struct AdmissionRequest
{
  std::string job;
  std::string queue;
  // The estimated length of the job's longest path, and the time in which it should end.
  std::int64_t pathMs = 0;
  std::int64_t objectiveMs = 0;
};

struct AdmissionDecision
{
  bool refused = false;
  // From now until the job is expected to end; 0 if no wait is known.
  std::int64_t expectedEndMs = 0;
  // When the caller should try again; only for a refused job.
  std::int64_t retryAfterSeconds = 0;
};

class AdmissionControl
{
public:
  explicit AdmissionControl(AdmissionSettings aSettings = {})
    : settings(aSettings)
  {
  }

  // `aWait` is the published wait for the service and priority of the job's queue; empty if there
  // is none.
  AdmissionDecision Decide(const AdmissionRequest& aRequest,
                           const std::optional<PublishedWait>& aWait,
                           Instant aNow);

private:
  // Jobs that are accepted and refused together: those of a queue whose objectives are within a
  // factor of two, as the others of the queue reach the thresholds at other waits.
  using JobClass = std::pair<std::string, int>;

  AdmissionSettings settings;
  // The classes of which jobs are refused now.
  std::set<JobClass> refusing;
};

} // namespace oriolespread::cluster
