#include "ControlChannel.h"

#include <algorithm>
#include <utility>

namespace oriolespread::internal {

namespace {

constexpr char kHelloKind = 1;
constexpr char kProofKind = 2;
constexpr char kMessageKind = 3;
constexpr std::size_t kPrefixBytes = 4;
// A hello has at most 2 + 2 x 129 + 33 bytes.
constexpr std::size_t kMaxHandshakeRecordBytes = 512;

std::size_t ReadLength(std::string_view aBytes)
{
  std::size_t length = 0;
  for (std::size_t i = 0; i < kPrefixBytes; ++i) {
    length = (length << 8U) | static_cast<unsigned char>(aBytes[i]);
  }
  return length;
}

} // namespace

ControlChannel::ControlChannel(Hello aOwn,
                               std::string aKey,
                               std::string aExpectedPeer,
                               const LinkLimits& aLimits)
  : own(std::move(aOwn))
  , key(std::move(aKey))
  , expectedPeer(std::move(aExpectedPeer))
  , limits(aLimits)
{
}

bool ControlChannel::Begin()
{
  this->own.nonce = MakeNonce();
  if (this->own.nonce.empty()) {
    return false;
  }
  if (this->own.role == Role::Entry) {
    this->Queue(kHelloKind, EncodeHello(this->own));
  }
  return true;
}

std::string_view ControlChannel::Receive(std::string_view aBytes)
{
  this->input.append(aBytes);
  std::string_view rest = this->input;
  while (rest.size() >= kPrefixBytes) {
    const std::size_t length = ReadLength(rest);
    if (length == 0) {
      return "empty_record";
    }
    if (length > this->MaxRecordBytes()) {
      return this->IsUp() ? "message_too_large" : "handshake_record_too_large";
    }
    if (rest.size() < kPrefixBytes + length) {
      break;
    }
    const std::string_view record = rest.substr(kPrefixBytes, length);
    const std::string_view error = this->HandleRecord(record[0], record.substr(1));
    if (!error.empty()) {
      return error;
    }
    rest.remove_prefix(kPrefixBytes + length);
  }
  this->input.erase(0, this->input.size() - rest.size());
  return {};
}

std::string_view ControlChannel::HandleRecord(char aKind, std::string_view aPayload)
{
  switch (aKind) {
    case kHelloKind:
      return this->HandleHello(aPayload);
    case kProofKind:
      return this->HandleProof(aPayload);
    case kMessageKind:
      return this->HandleMessage(aPayload);
    default:
      return "unknown_record_kind";
  }
}

std::string_view ControlChannel::HandleHello(std::string_view aPayload)
{
  if (this->state != State::AwaitingHello) {
    return "unexpected_hello";
  }
  if (!DecodeHello(aPayload, this->peer)) {
    return "bad_hello";
  }
  if (this->peer.role == this->own.role) {
    return "wrong_role";
  }
  if (!this->expectedPeer.empty() && this->peer.id != this->expectedPeer) {
    return "wrong_peer";
  }
  if (this->own.role == Role::Agent) {
    this->Queue(kHelloKind, EncodeHello(this->own));
    this->Queue(kProofKind, MakeProof(this->key, this->own, this->peer));
  }
  this->state = State::AwaitingProof;
  return {};
}

std::string_view ControlChannel::HandleProof(std::string_view aPayload)
{
  if (this->state != State::AwaitingProof) {
    return "unexpected_proof";
  }
  if (!IsProof(aPayload, this->key, this->peer, this->own)) {
    return "bad_proof";
  }
  if (this->own.role == Role::Entry) {
    this->Queue(kProofKind, MakeProof(this->key, this->own, this->peer));
  }
  this->state = State::Up;
  this->onUp();
  return {};
}

std::string_view ControlChannel::HandleMessage(std::string_view aPayload)
{
  if (!this->IsUp()) {
    return "message_before_proof";
  }
  absl::StatusOr<LinkMessage> message = DecodeMessage(aPayload);
  if (!message.ok()) {
    return "bad_message";
  }
  this->onMessage(*std::move(message));
  return {};
}

std::size_t ControlChannel::MaxRecordBytes() const
{
  return this->IsUp() ? this->limits.messageBytes + 1 : kMaxHandshakeRecordBytes;
}

void ControlChannel::QueueMessage(std::string_view aEncoded)
{
  this->Queue(kMessageKind, aEncoded);
}

void ControlChannel::Queue(char aKind, std::string_view aPayload)
{
  const std::size_t length = aPayload.size() + 1;
  for (std::size_t i = kPrefixBytes; i > 0; --i) {
    this->output.push_back(static_cast<char>((length >> (8U * (i - 1))) & 0xffU));
  }
  this->output.push_back(aKind);
  this->output.append(aPayload);
}

std::size_t ControlChannel::TakeOutput(std::uint8_t* aTarget, std::size_t aSize)
{
  const std::size_t taken = std::min(aSize, this->PendingBytes());
  std::copy_n(this->output.data() + this->outputOffset, taken, aTarget);
  this->outputOffset += taken;
  // Moves the rest to the front only when it is the smaller part, so that taking costs linear time.
  if (this->outputOffset * 2 >= this->output.size()) {
    this->output.erase(0, this->outputOffset);
    this->outputOffset = 0;
  }
  return taken;
}

} // namespace oriolespread::internal
