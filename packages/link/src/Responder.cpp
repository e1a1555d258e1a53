#include "oriolespread/link/Responder.h"

#include "AgentLink.h"

#include <utility>

namespace oriolespread {

Responder::Responder(std::weak_ptr<internal::AgentLink> aLink,
                     std::shared_ptr<internal::CallTicket> aTicket)
  : link(std::move(aLink))
  , ticket(std::move(aTicket))
{
}

Responder::~Responder()
{
  if (const auto target = this->link.lock(); target != nullptr) {
    target->Abandon(*this->ticket);
  }
}

void Responder::Answer(const CallAnswer& aAnswer)
{
  if (const auto target = this->link.lock(); target != nullptr) {
    target->Answer(*this->ticket, aAnswer);
  }
}

void Responder::Refuse(std::string_view aReason)
{
  if (const auto target = this->link.lock(); target != nullptr) {
    target->Refuse(*this->ticket, aReason);
  }
}

bool Responder::IsCancelled() const
{
  return this->link.expired() || this->ticket->cancelled;
}

} // namespace oriolespread
