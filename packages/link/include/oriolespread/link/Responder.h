// Answers one call that an agent received. Use on the loop thread only: threads that run the call
// post the answer to the io_context first, and release their copy of the responder there too.
#pragma once

#include "oriolespread/link/LinkTypes.h"

#include <memory>
#include <string_view>

namespace oriolespread {

namespace internal {
class AgentLink;
struct CallTicket;
}

// The first Answer or Refuse counts; further ones, and those after the call was cancelled or its
// link was lost, are dropped and counted. Destruction without either ends the call as Unknown.
class Responder
{
public:
  Responder(std::weak_ptr<internal::AgentLink> aLink,
            std::shared_ptr<internal::CallTicket> aTicket);
  ~Responder();
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  // Sends the whole answer. An answer above the limits of the link ends the call as Unknown.
  void Answer(const CallAnswer& aAnswer);

  // States that the upstream has not seen the call; the entry reports NotRun with this reason. Must
  // not be used once the upstream may have begun.
  void Refuse(std::string_view aReason);

  // Returns whether nobody waits for the answer any more.
  bool IsCancelled() const;

private:
  std::weak_ptr<internal::AgentLink> link;
  std::shared_ptr<internal::CallTicket> ticket;
};

} // namespace oriolespread
