#include "oriolespread/link/LinkListener.h"

#include "ListenerCore.h"

#include <utility>

namespace oriolespread {

absl::StatusOr<std::unique_ptr<LinkListener>> LinkListener::Create(asio::io_context& aContext,
                                                                   LinkListenerOptions aOptions,
                                                                   LinkListenerHandlers aHandlers,
                                                                   Counters& aCounters)
{
  if (!IsValidName(aOptions.entry.Value()) || !IsValidName(aOptions.dataCentre.Value())) {
    return absl::InvalidArgumentError("entry or data centre is not a valid name");
  }
  if (aOptions.sharedKey.size() < kMinKeyBytes) {
    return absl::InvalidArgumentError("the shared key is too short");
  }
  if (absl::Status status = CheckLimits(aOptions.limits); !status.ok()) {
    return status;
  }
  auto core = std::make_shared<internal::ListenerCore>(
    aContext, std::move(aOptions), std::move(aHandlers), aCounters);
  if (absl::Status status = core->Listen(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<LinkListener>(new LinkListener(std::move(core)));
}

LinkListener::LinkListener(std::shared_ptr<internal::ListenerCore> aCore)
  : core(std::move(aCore))
{
}

LinkListener::~LinkListener()
{
  this->core->Abandon();
}

std::uint16_t LinkListener::Port() const
{
  return this->core->Port();
}

bool LinkListener::Send(LinkId aLink, const LinkMessage& aMessage)
{
  return this->core->Send(aLink, aMessage);
}

CallId LinkListener::StartCall(LinkId aLink,
                               const CallRequest& aRequest,
                               std::function<void(const CallResult&)> aCallback)
{
  return this->core->StartCall(aLink, aRequest, std::move(aCallback));
}

void LinkListener::CancelCall(CallId aCall)
{
  this->core->CancelCall(aCall);
}

void LinkListener::CloseLink(LinkId aLink)
{
  this->core->CloseLink(aLink);
}

void LinkListener::Close()
{
  this->core->Close();
}

} // namespace oriolespread
