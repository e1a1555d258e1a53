#include "oriolespread/link/LinkDialer.h"

#include "DialerCore.h"

#include <utility>

namespace oriolespread {

absl::StatusOr<std::unique_ptr<LinkDialer>> LinkDialer::Create(asio::io_context& aContext,
                                                               LinkDialerOptions aOptions,
                                                               LinkDialerHandlers aHandlers,
                                                               Counters& aCounters)
{
  if (!IsValidName(aOptions.agent.Value()) || !IsValidName(aOptions.dataCentre.Value())) {
    return absl::InvalidArgumentError("agent or data centre is not a valid name");
  }
  if (aOptions.sharedKey.size() < kMinKeyBytes) {
    return absl::InvalidArgumentError("the shared key is too short");
  }
  if (aOptions.connectTimeout <= Duration::zero() || aOptions.backoffMin <= Duration::zero() ||
      aOptions.backoffMax < aOptions.backoffMin) {
    return absl::InvalidArgumentError("connect time-out or back-off is out of range");
  }
  if (absl::Status status = CheckLimits(aOptions.limits); !status.ok()) {
    return status;
  }
  auto core = std::make_shared<internal::DialerCore>(
    aContext, std::move(aOptions), std::move(aHandlers), aCounters);
  if (absl::Status status = core->Start(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<LinkDialer>(new LinkDialer(std::move(core)));
}

LinkDialer::LinkDialer(std::shared_ptr<internal::DialerCore> aCore)
  : core(std::move(aCore))
{
}

LinkDialer::~LinkDialer()
{
  this->core->Abandon();
}

bool LinkDialer::Send(const LinkMessage& aMessage)
{
  return this->core->Send(aMessage);
}

bool LinkDialer::IsUp() const
{
  return this->core->IsUp();
}

void LinkDialer::Drain()
{
  this->core->Drain();
}

void LinkDialer::Close()
{
  this->core->Close();
}

} // namespace oriolespread
