// The agent's side of one connection: the HTTP/2 server that receives calls and sends answers.
#pragma once

#include "CallWire.h"
#include "Connection.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/link/LinkTypes.h"
#include "oriolespread/link/Responder.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace oriolespread::internal {

// State that a call shares with its Responder.
struct CallTicket
{
  std::int32_t stream = 0;
  RequestId id;
  // Answered or refused.
  bool done = false;
  // The entry reset the stream, or the link is gone.
  bool cancelled = false;
};

class AgentLink : public Connection
{
public:
  using CallHandler = std::function<void(CallRequest, std::shared_ptr<Responder>)>;

  AgentLink(asio::ip::tcp::socket aSocket,
            Hello aOwn,
            std::string aKey,
            std::string aExpectedEntry,
            const LinkLimits& aLimits,
            Handlers aHandlers,
            CallHandler aCallHandler,
            Counters& aCounters);

  // As the members of Responder, for the call of this ticket.
  void Answer(CallTicket& aTicket, const CallAnswer& aAnswer);
  void Refuse(CallTicket& aTicket, std::string_view aReason);
  void Abandon(CallTicket& aTicket);

  // Sends GOAWAY, lets the calls in flight end, then closes.
  void Drain();

protected:
  void OnBeginHeaders(std::int32_t aStream) override;
  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override;
  void OnData(std::int32_t aStream, std::string_view aBytes) override;
  void OnEndStream(std::int32_t aStream) override;
  void OnReset(std::int32_t aStream, std::uint32_t aCode) override;
  void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) override;
  std::size_t ReadBody(std::int32_t aStream,
                       std::uint8_t* aTarget,
                       std::size_t aSize,
                       bool& aEnd) override;
  void OnHeadersSent(std::int32_t aStream) override;
  void OnClosed(std::string_view aReason) override;

private:
  struct Stream
  {
    RequestHead head;
    std::size_t headerBytes = 0;
    // Refused before the call handler got it; what still arrives is dropped.
    bool refused = false;
    // Null until the whole request arrived.
    std::shared_ptr<CallTicket> ticket;
    std::string answerBody;
    std::size_t answerSent = 0;
  };

  Stream* Find(std::int32_t aStream);
  void RefuseStream(std::int32_t aStream, std::string_view aReason);
  void Reset(std::int32_t aStream, std::uint32_t aCode);
  void DeliverCall(std::int32_t aStream, Stream& aEntry);
  // Returns false and counts when this ticket can take no answer any more.
  bool Claim(CallTicket& aTicket);
  void SubmitAnswer(const CallTicket& aTicket, const CallAnswer& aAnswer);
  void CloseIfDrained();

  CallHandler callHandler;
  absl::flat_hash_map<std::int32_t, std::unique_ptr<Stream>> streams;
  asio::steady_timer drainTimer;
  bool draining = false;
  std::size_t pendingBodyBytes = 0;
  std::size_t bufferedBodyBytes = 0;
};

} // namespace oriolespread::internal
