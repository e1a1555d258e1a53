#include "AgentLink.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolespread::internal {

AgentLink::AgentLink(asio::ip::tcp::socket aSocket,
                     Hello aOwn,
                     std::string aKey,
                     std::string aExpectedEntry,
                     const LinkLimits& aLimits,
                     Handlers aHandlers,
                     CallHandler aCallHandler,
                     Counters& aCounters)
  : Connection(std::move(aSocket),
               std::move(aOwn),
               std::move(aKey),
               std::move(aExpectedEntry),
               aLimits,
               std::move(aHandlers),
               aCounters)
  , callHandler(std::move(aCallHandler))
  , drainTimer(this->Executor())
{
}

AgentLink::Stream* AgentLink::Find(std::int32_t aStream)
{
  const auto found = this->streams.find(aStream);
  return found == this->streams.end() ? nullptr : found->second.get();
}

void AgentLink::OnBeginHeaders(std::int32_t aStream)
{
  if (this->Find(aStream) != nullptr) {
    return;
  }
  this->streams.emplace(aStream, std::make_unique<Stream>());
  // GOAWAY names the last stream before Drain; a stream that comes before it is sent has a higher
  // id, so it must not run.
  if (this->draining) {
    this->RefuseStream(aStream, "agent_draining");
  }
}

void AgentLink::OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue)
{
  Stream* stream = this->Find(aStream);
  if (stream == nullptr || stream->refused) {
    return;
  }
  stream->headerBytes += aName.size() + aValue.size();
  if (stream->headerBytes > MaxHeaderBytes(this->Limits())) {
    this->RefuseStream(aStream, "headers_too_large");
    return;
  }
  stream->head.Take(aName, aValue);
}

void AgentLink::OnData(std::int32_t aStream, std::string_view aBytes)
{
  Stream* stream = this->Find(aStream);
  if (stream == nullptr || stream->refused) {
    return;
  }
  std::string& body = stream->head.request.body;
  if (body.size() + aBytes.size() > this->Limits().bodyBytes) {
    this->RefuseStream(aStream, "body_too_large");
    return;
  }
  if (this->bufferedBodyBytes + aBytes.size() > this->Limits().bufferedBodyBytes) {
    this->RefuseStream(aStream, "buffer_full");
    return;
  }
  body.append(aBytes);
  this->bufferedBodyBytes += aBytes.size();
}

void AgentLink::OnEndStream(std::int32_t aStream)
{
  Stream* stream = this->Find(aStream);
  if (stream == nullptr || stream->refused) {
    return;
  }
  if (!stream->head.IsComplete()) {
    this->RefuseStream(aStream, "bad_request_headers");
  } else if (stream->head.request.body.size() != stream->head.bodyBytes) {
    this->RefuseStream(aStream, "body_length_mismatch");
  } else {
    this->DeliverCall(aStream, *stream);
  }
}

void AgentLink::DeliverCall(std::int32_t aStream, Stream& aEntry)
{
  aEntry.ticket = std::make_shared<CallTicket>();
  aEntry.ticket->stream = aStream;
  aEntry.ticket->id = aEntry.head.request.id;
  this->bufferedBodyBytes -= aEntry.head.request.body.size();
  this->Count().Add("link_calls_received_total", "");
  const std::weak_ptr<AgentLink> weak = std::static_pointer_cast<AgentLink>(shared_from_this());
  auto responder = std::make_shared<Responder>(weak, aEntry.ticket);
  this->Deliver([this,
                 request = std::exchange(aEntry.head.request, {}),
                 responder = std::move(responder)]() mutable {
    const CallHandler handler = this->callHandler;
    if (handler) {
      handler(std::move(request), std::move(responder));
    } else {
      responder->Refuse("no_call_handler");
    }
  });
}

void AgentLink::OnReset(std::int32_t /*aStream*/, std::uint32_t /*aCode*/) {}

void AgentLink::OnStreamClosed(std::int32_t aStream, std::uint32_t /*aCode*/)
{
  Stream* stream = this->Find(aStream);
  if (stream == nullptr) {
    return;
  }
  this->pendingBodyBytes -= stream->answerBody.size() - stream->answerSent;
  this->bufferedBodyBytes -= stream->head.request.body.size();
  if (stream->ticket != nullptr) {
    stream->ticket->cancelled = true;
  }
  this->streams.erase(aStream);
  this->CloseIfDrained();
}

std::size_t AgentLink::ReadBody(std::int32_t aStream,
                                std::uint8_t* aTarget,
                                std::size_t aSize,
                                bool& aEnd)
{
  Stream* stream = this->Find(aStream);
  if (stream == nullptr) {
    aEnd = true;
    return 0;
  }
  const std::size_t taken = std::min(aSize, stream->answerBody.size() - stream->answerSent);
  std::copy_n(stream->answerBody.data() + stream->answerSent, taken, aTarget);
  stream->answerSent += taken;
  this->pendingBodyBytes -= taken;
  aEnd = stream->answerSent == stream->answerBody.size();
  return taken;
}

void AgentLink::OnClosed(std::string_view /*aReason*/)
{
  this->drainTimer.cancel();
  for (const auto& [id, stream] : this->streams) {
    if (stream->ticket != nullptr) {
      stream->ticket->cancelled = true;
    }
  }
  this->streams.clear();
}

bool AgentLink::Claim(CallTicket& aTicket)
{
  if (aTicket.done || aTicket.cancelled || this->IsClosed()) {
    this->Count().Add("link_answers_dropped_total", aTicket.done ? "repeated" : "cancelled");
    return false;
  }
  aTicket.done = true;
  return true;
}

void AgentLink::Answer(CallTicket& aTicket, const CallAnswer& aAnswer)
{
  if (!this->Claim(aTicket)) {
    return;
  }
  std::string_view refusal = CheckAnswer(aAnswer, this->Limits().headerBytes);
  if (refusal.empty() && aAnswer.body.size() > this->Limits().bodyBytes) {
    refusal = "body_too_large";
  }
  if (refusal.empty() &&
      this->pendingBodyBytes + aAnswer.body.size() > this->Limits().pendingBodyBytes) {
    refusal = "output_full";
  }
  if (!refusal.empty()) {
    this->Count().Add("link_answers_dropped_total", refusal);
    this->Reset(aTicket.stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  this->SubmitAnswer(aTicket, aAnswer);
}

void AgentLink::SubmitAnswer(const CallTicket& aTicket, const CallAnswer& aAnswer)
{
  Stream* stream = this->Find(aTicket.stream);
  stream->answerBody = aAnswer.body;
  this->pendingBodyBytes += stream->answerBody.size();
  const HeaderList headers = AnswerHeaders(aTicket.id, aAnswer);
  const std::vector<nghttp2_nv> entries = headers.Entries();
  const nghttp2_data_provider provider = BodyProvider();
  const int result = nghttp2_submit_response(this->Session(),
                                             aTicket.stream,
                                             entries.data(),
                                             entries.size(),
                                             aAnswer.body.empty() ? nullptr : &provider);
  if (result != 0) {
    this->Count().Add("link_answers_dropped_total", "submit_failed");
    this->Reset(aTicket.stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  this->ScheduleFlush();
}

void AgentLink::Refuse(CallTicket& aTicket, std::string_view aReason)
{
  if (this->Claim(aTicket)) {
    this->RefuseStream(aTicket.stream, aReason);
  }
}

void AgentLink::Abandon(CallTicket& aTicket)
{
  if (aTicket.done || aTicket.cancelled || this->IsClosed()) {
    return;
  }
  aTicket.done = true;
  this->Count().Add("link_answers_dropped_total", "responder_released");
  this->Reset(aTicket.stream, NGHTTP2_INTERNAL_ERROR);
}

// The reason travels in headers and the reset follows once they are part of the output, because
// nghttp2 drops headers of a stream whose reset is queued. Only the reset is the proof: headers
// alone, from a connection that breaks in between, leave the call unknown.
void AgentLink::RefuseStream(std::int32_t aStream, std::string_view aReason)
{
  Stream* stream = this->Find(aStream);
  if (stream == nullptr) {
    return;
  }
  stream->refused = true;
  const bool byHandler = stream->ticket != nullptr;
  this->Count().Add("link_calls_refused_total", byHandler ? "by_handler" : aReason);
  const HeaderList headers = RefusalHeaders(aReason);
  const std::vector<nghttp2_nv> entries = headers.Entries();
  const int result = nghttp2_submit_headers(
    this->Session(), NGHTTP2_FLAG_NONE, aStream, nullptr, entries.data(), entries.size(), nullptr);
  if (result != 0) {
    this->Reset(aStream, NGHTTP2_REFUSED_STREAM);
  }
  this->ScheduleFlush();
}

void AgentLink::OnHeadersSent(std::int32_t aStream)
{
  const Stream* stream = this->Find(aStream);
  if (stream != nullptr && stream->refused) {
    nghttp2_submit_rst_stream(this->Session(), NGHTTP2_FLAG_NONE, aStream, NGHTTP2_REFUSED_STREAM);
  }
}

void AgentLink::Reset(std::int32_t aStream, std::uint32_t aCode)
{
  nghttp2_submit_rst_stream(this->Session(), NGHTTP2_FLAG_NONE, aStream, aCode);
  this->ScheduleFlush();
}

void AgentLink::Drain()
{
  if (this->draining || this->IsClosed()) {
    return;
  }
  if (!this->IsUp()) {
    this->Close("drained");
    return;
  }
  this->draining = true;
  const std::int32_t last = nghttp2_session_get_last_proc_stream_id(this->Session());
  nghttp2_submit_goaway(this->Session(), NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
  this->ScheduleFlush();
  this->drainTimer.expires_after(this->Limits().drainTimeout);
  this->drainTimer.async_wait([self = this->shared_from_this()](asio::error_code aError) {
    if (!aError) {
      self->Close("drain_timeout");
    }
  });
  this->CloseIfDrained();
}

void AgentLink::CloseIfDrained()
{
  if (this->draining && this->streams.empty()) {
    this->CloseAfterOutput("drained");
  }
}

} // namespace oriolespread::internal
