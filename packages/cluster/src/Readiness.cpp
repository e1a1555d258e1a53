#include "oriolespread/cluster/Readiness.h"

namespace oriolespread::cluster {

bool IsReady(const EntryCondition& aCondition, const ReadinessSettings& aSettings)
{
  return !aCondition.draining && aCondition.hasConfig &&
         aCondition.configAge < aSettings.maxConfigAge &&
         aCondition.storeSilence < aSettings.maxStoreSilence;
}

} // namespace oriolespread::cluster
