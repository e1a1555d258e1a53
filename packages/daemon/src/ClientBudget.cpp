#include "ClientBudget.h"

#include "oriolespread/service/Log.h"

#include <map>
#include <string>

namespace oriolespread::daemon {

namespace {

constexpr Duration kLogInterval = std::chrono::seconds(1);

} // namespace

std::shared_ptr<MemoryBudget> CreateClientBudget(const platformwire::DaemonSettings& aSettings)
{
  auto budget = std::make_shared<MemoryBudget>(
    MemoryBudget::LimitsFor(aSettings.memoryMb, aSettings.maxDescriptors));
  if (!budget->IsLimited()) {
    return budget;
  }
  budget->SetObserver(
    [&observed = *budget, loggedAt = Instant{}, counts = std::map<std::string, std::uint64_t>{}](
      std::string_view aReason) mutable {
      ++counts[std::string(aReason)];
      const Instant now = BootClock::now();
      if (loggedAt != Instant{} && now - loggedAt < kLogInterval) {
        return;
      }
      loggedAt = now;
      Log(LogLevel::Warning,
          "clients_limited",
          { { "reasons", counts },
            { "bytes_held", observed.HeldBytes() },
            { "connections", observed.Connections() } });
      counts.clear();
    });
  return budget;
}

} // namespace oriolespread::daemon
