// The protocol of the control stream: hello and proof of both sides, then messages. Has no socket:
// takes the bytes that arrived and keeps the bytes to send.
//
// A record is a 4-byte big-endian length, a kind byte and a payload; the length counts the kind.
// The entry sends its hello; the agent answers with hello and proof; the entry answers with its
// proof. Anything else before that is an error.
#pragma once

#include "Proof.h"

#include "oriolespread/link/LinkLimits.h"
#include "oriolespread/messages/MessageCodec.h"

#include <functional>
#include <string>
#include <string_view>

namespace oriolespread::internal {

class ControlChannel
{
public:
  // `aOwn` needs no nonce yet. `aExpectedPeer` is empty or the only id that is accepted.
  ControlChannel(Hello aOwn,
                 std::string aKey,
                 std::string aExpectedPeer,
                 const LinkLimits& aLimits);

  // Queues the entry's hello. Returns false when no nonce can be made.
  bool Begin();

  // Takes bytes from the peer. Calls `onUp` once and `onMessage` for each message. Returns an empty
  // text, or the reason for which the link has to be closed.
  std::string_view Receive(std::string_view aBytes);

  // Queues an encoded message.
  void QueueMessage(std::string_view aEncoded);

  bool IsUp() const { return this->state == State::Up; }
  const Hello& Peer() const { return this->peer; }

  std::size_t PendingBytes() const { return this->output.size() - this->outputOffset; }
  // Moves up to `aSize` pending bytes to `aTarget` and returns how many.
  std::size_t TakeOutput(std::uint8_t* aTarget, std::size_t aSize);

  std::function<void()> onUp;
  std::function<void(LinkMessage)> onMessage;

private:
  enum class State
  {
    AwaitingHello,
    AwaitingProof,
    Up,
  };

  std::string_view HandleRecord(char aKind, std::string_view aPayload);
  std::string_view HandleHello(std::string_view aPayload);
  std::string_view HandleProof(std::string_view aPayload);
  std::string_view HandleMessage(std::string_view aPayload);
  std::size_t MaxRecordBytes() const;
  void Queue(char aKind, std::string_view aPayload);

  Hello own;
  Hello peer;
  std::string key;
  std::string expectedPeer;
  LinkLimits limits;
  State state = State::AwaitingHello;
  std::string input;
  std::string output;
  std::size_t outputOffset = 0;
};

} // namespace oriolespread::internal
