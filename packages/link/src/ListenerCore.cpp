#include "ListenerCore.h"

#include "absl/strings/str_cat.h"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>

#include <utility>
#include <vector>

namespace oriolespread::internal {

namespace {

// Wait after a failed accept, for example when the process is out of file descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };

} // namespace

ListenerCore::ListenerCore(asio::io_context& aContext,
                           LinkListenerOptions aOptions,
                           LinkListenerHandlers aHandlers,
                           Counters& aCounters)
  : context(aContext)
  , options(std::move(aOptions))
  , handlers(std::move(aHandlers))
  , counters(aCounters)
  , acceptor(aContext)
  , acceptTimer(aContext)
{
}

absl::Status ListenerCore::Listen()
{
  asio::error_code error;
  const auto address = asio::ip::make_address(this->options.address, error);
  if (error) {
    return absl::InvalidArgumentError(
      absl::StrCat("address '", this->options.address, "' is not an IP address"));
  }
  const asio::ip::tcp::endpoint endpoint(address, this->options.port);
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return absl::UnavailableError(absl::StrCat(
      "cannot listen on ", this->options.address, ":", this->options.port, ": ", error.message()));
  }
  this->port = this->acceptor.local_endpoint(error).port();
  this->Accept();
  return absl::OkStatus();
}

void ListenerCore::Accept()
{
  this->acceptor.async_accept(
    [self = this->shared_from_this()](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (!self->closed) {
        self->OnAccepted(aError, std::move(aSocket));
      }
    });
}

void ListenerCore::OnAccepted(asio::error_code aError, asio::ip::tcp::socket aSocket)
{
  if (aError) {
    this->counters.Add("link_refused_total", "accept_failed");
    this->acceptTimer.expires_after(kAcceptPause);
    this->acceptTimer.async_wait([self = this->shared_from_this()](asio::error_code aWaitError) {
      if (!aWaitError && !self->closed) {
        self->Accept();
      }
    });
    return;
  }
  if (this->links.size() >= this->options.maxLinks) {
    this->counters.Add("link_refused_total", "too_many_links");
  } else {
    this->AddLink(std::move(aSocket));
  }
  this->Accept();
}

void ListenerCore::AddLink(asio::ip::tcp::socket aSocket)
{
  const LinkId id{ ++this->lastLink };
  Hello own{ Role::Entry, this->options.entry.Value(), this->options.dataCentre.Value(), {} };
  auto link = std::make_shared<EntryLink>(std::move(aSocket),
                                          std::move(own),
                                          this->options.sharedKey,
                                          this->options.limits,
                                          this->LinkHandlers(id),
                                          this->counters);
  link->claimResult = [weak = this->weak_from_this()](CallId aCall) {
    const auto self = weak.lock();
    return self != nullptr && self->calls.erase(aCall) > 0;
  };
  this->links.emplace(id, link);
  link->Start();
}

Connection::Handlers ListenerCore::LinkHandlers(LinkId aLink)
{
  Connection::Handlers result;
  result.up = [weak = this->weak_from_this(), aLink](const Hello& aPeer) {
    if (const auto self = weak.lock(); self != nullptr && self->handlers.up) {
      self->handlers.up(aLink, AgentId{ aPeer.id }, DataCentreId{ aPeer.dataCentre });
    }
  };
  result.message = [weak = this->weak_from_this(), aLink](const LinkMessage& aMessage) {
    if (const auto self = weak.lock(); self != nullptr && self->handlers.message) {
      self->handlers.message(aLink, aMessage);
    }
  };
  result.down = [weak = this->weak_from_this(), aLink](std::string_view aReason, bool aWasUp) {
    if (const auto self = weak.lock(); self != nullptr) {
      self->OnDown(aLink, aReason, aWasUp);
    }
  };
  return result;
}

void ListenerCore::OnDown(LinkId aLink, std::string_view aReason, bool aWasUp)
{
  this->links.erase(aLink);
  if (aWasUp && this->handlers.down) {
    this->handlers.down(aLink, aReason);
  }
}

std::shared_ptr<EntryLink> ListenerCore::Find(LinkId aLink) const
{
  const auto found = this->links.find(aLink);
  return found == this->links.end() ? nullptr : found->second;
}

bool ListenerCore::Send(LinkId aLink, const LinkMessage& aMessage)
{
  const auto link = this->Find(aLink);
  if (link == nullptr) {
    this->counters.Add("link_messages_refused_total", "not_up");
    return false;
  }
  return link->SendMessage(aMessage);
}

CallId ListenerCore::StartCall(LinkId aLink, const CallRequest& aRequest, Callback aCallback)
{
  const CallId id{ ++this->lastCall };
  this->calls.emplace(id, aLink);
  if (const auto link = this->Find(aLink); link != nullptr) {
    link->StartCall(id, aRequest, std::move(aCallback));
  } else {
    this->DeliverRefusal(id, std::move(aCallback), "link_not_up");
  }
  return id;
}

void ListenerCore::DeliverRefusal(CallId aCall, Callback aCallback, std::string_view aReason)
{
  this->counters.Add("link_calls_not_run_total", aReason);
  asio::post(this->context,
             [weak = this->weak_from_this(),
              aCall,
              callback = std::move(aCallback),
              result = CallResult{ CallEnd::NotRun, std::string(aReason), {} }] {
               const auto self = weak.lock();
               if (self != nullptr && self->calls.erase(aCall) > 0 && callback) {
                 callback(result);
               }
             });
}

void ListenerCore::CancelCall(CallId aCall)
{
  const auto found = this->calls.find(aCall);
  if (found == this->calls.end()) {
    return;
  }
  const auto link = this->Find(found->second);
  this->calls.erase(found);
  if (link != nullptr) {
    link->CancelCall(aCall);
  }
}

void ListenerCore::CloseLink(LinkId aLink)
{
  if (const auto link = this->Find(aLink); link != nullptr) {
    link->Close("closed_here");
  }
}

void ListenerCore::Close()
{
  this->closed = true;
  asio::error_code ignored;
  this->acceptor.close(ignored);
  this->acceptTimer.cancel();
  std::vector<std::shared_ptr<EntryLink>> open;
  for (const auto& [id, link] : this->links) {
    open.push_back(link);
  }
  for (const auto& link : open) {
    link->Close("closed_here");
  }
}

void ListenerCore::Abandon()
{
  for (const auto& [id, link] : this->links) {
    link->Detach();
  }
  this->calls.clear();
  this->Close();
  for (const auto& [id, link] : this->links) {
    link->Detach();
  }
  this->links.clear();
}

} // namespace oriolespread::internal
