#include "EntryLink.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace oriolespread::internal {

EntryLink::EntryLink(asio::ip::tcp::socket aSocket,
                     Hello aOwn,
                     std::string aKey,
                     const LinkLimits& aLimits,
                     Handlers aHandlers,
                     Counters& aCounters)
  : Connection(std::move(aSocket),
               std::move(aOwn),
               std::move(aKey),
               {},
               aLimits,
               std::move(aHandlers),
               aCounters)
{
}

EntryLink::Call* EntryLink::Find(std::int32_t aStream)
{
  const auto found = this->calls.find(aStream);
  return found == this->calls.end() ? nullptr : found->second.get();
}

std::string_view EntryLink::CheckStart(const CallRequest& aRequest)
{
  if (!this->IsUp()) {
    return "link_not_up";
  }
  if (this->goawayLast.has_value()) {
    return "link_draining";
  }
  if (this->calls.size() >= this->Limits().streams) {
    return "too_many_streams";
  }
  if (aRequest.body.size() > this->Limits().bodyBytes) {
    return "body_too_large";
  }
  if (this->pendingBodyBytes + aRequest.body.size() > this->Limits().pendingBodyBytes) {
    return "output_full";
  }
  return CheckRequest(aRequest, this->Limits().headerBytes);
}

void EntryLink::StartCall(CallId aId, const CallRequest& aRequest, Callback aCallback)
{
  std::string_view refusal = this->CheckStart(aRequest);
  if (refusal.empty()) {
    const HeaderList headers = RequestHeaders(aRequest);
    const std::vector<nghttp2_nv> entries = headers.Entries();
    const nghttp2_data_provider provider = BodyProvider();
    const std::int32_t stream = nghttp2_submit_request(this->Session(),
                                                       nullptr,
                                                       entries.data(),
                                                       entries.size(),
                                                       aRequest.body.empty() ? nullptr : &provider,
                                                       nullptr);
    if (stream > 0) {
      auto call = std::make_unique<Call>();
      call->id = aId;
      call->request = aRequest.id;
      call->callback = std::move(aCallback);
      call->body = aRequest.body;
      this->pendingBodyBytes += call->body.size();
      this->calls.emplace(stream, std::move(call));
      this->streams.emplace(aId, stream);
      this->ScheduleFlush();
      return;
    }
    this->exhausted = stream == NGHTTP2_ERR_STREAM_ID_NOT_AVAILABLE;
    refusal = this->exhausted ? "stream_ids_exhausted" : "submit_failed";
    this->CloseIfExhausted();
  }
  this->DeliverResult(
    aId, std::move(aCallback), { CallEnd::NotRun, std::string(refusal), {} }, refusal);
}

void EntryLink::CancelCall(CallId aId)
{
  const auto found = this->streams.find(aId);
  if (found == this->streams.end()) {
    return;
  }
  const std::int32_t stream = found->second;
  Call* call = this->Find(stream);
  this->Release(*call);
  this->calls.erase(stream);
  this->streams.erase(found);
  this->Count().Add("link_calls_total", "cancelled");
  this->CloseIfExhausted();
  nghttp2_submit_rst_stream(this->Session(), NGHTTP2_FLAG_NONE, stream, NGHTTP2_CANCEL);
  this->ScheduleFlush();
}

void EntryLink::OnHeadersFrame(std::int32_t aStream)
{
  if (this->Find(aStream) == nullptr) {
    this->Count().Add("link_answers_dropped_total", "late");
  }
}

void EntryLink::OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue)
{
  Call* call = this->Find(aStream);
  if (call == nullptr) {
    return;
  }
  call->headerBytes += aName.size() + aValue.size();
  if (call->headerBytes > MaxHeaderBytes(this->Limits())) {
    this->FailCall(aStream, *call, "headers_too_large");
    return;
  }
  call->head.Take(aName, aValue);
}

void EntryLink::OnData(std::int32_t aStream, std::string_view aBytes)
{
  Call* call = this->Find(aStream);
  if (call == nullptr || !call->fault.empty()) {
    return;
  }
  if (call->head.answer.body.size() + aBytes.size() > this->Limits().bodyBytes) {
    this->FailCall(aStream, *call, "answer_too_large");
    return;
  }
  if (this->bufferedBodyBytes + aBytes.size() > this->Limits().bufferedBodyBytes) {
    this->FailCall(aStream, *call, "buffer_full");
    return;
  }
  if (call->head.answer.body.empty()) {
    call->head.answer.body.reserve(std::min<std::size_t>(call->head.bodyBytes, 1U << 16U));
  }
  call->head.answer.body.append(aBytes);
  this->bufferedBodyBytes += aBytes.size();
}

void EntryLink::OnEndStream(std::int32_t aStream)
{
  if (Call* call = this->Find(aStream); call != nullptr) {
    call->ended = true;
  }
}

void EntryLink::OnReset(std::int32_t aStream, std::uint32_t aCode)
{
  if (Call* call = this->Find(aStream); call != nullptr) {
    call->resetCode = aCode;
  }
}

void EntryLink::OnStreamClosed(std::int32_t aStream, std::uint32_t aCode)
{
  this->EndCall(aStream, aCode == NGHTTP2_NO_ERROR ? "truncated_answer" : "stream_reset");
}

std::size_t EntryLink::ReadBody(std::int32_t aStream,
                                std::uint8_t* aTarget,
                                std::size_t aSize,
                                bool& aEnd)
{
  Call* call = this->Find(aStream);
  if (call == nullptr) {
    aEnd = true;
    return 0;
  }
  const std::size_t taken = std::min(aSize, call->body.size() - call->bodySent);
  std::copy_n(call->body.data() + call->bodySent, taken, aTarget);
  call->bodySent += taken;
  this->pendingBodyBytes -= taken;
  aEnd = call->bodySent == call->body.size();
  return taken;
}

void EntryLink::OnRequestPlaced(std::int32_t aStream, std::uint64_t aOffset)
{
  if (Call* call = this->Find(aStream); call != nullptr) {
    call->placedAt = aOffset;
  }
}

void EntryLink::OnGoaway(std::int32_t aLastStream)
{
  this->goawayLast = aLastStream;
  this->ExpectClose("drained");
}

void EntryLink::OnClosed(std::string_view aReason)
{
  std::vector<std::int32_t> open;
  for (const auto& [stream, call] : this->calls) {
    open.push_back(stream);
  }
  std::sort(open.begin(), open.end());
  for (const std::int32_t stream : open) {
    this->EndCall(stream, aReason);
  }
}

void EntryLink::FailCall(std::int32_t aStream, Call& aCall, std::string_view aFault)
{
  if (!aCall.fault.empty()) {
    return;
  }
  aCall.fault = aFault;
  nghttp2_submit_rst_stream(this->Session(), NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
}

bool EntryLink::IsProvenNotRun(std::int32_t aStream, const Call& aCall) const
{
  if (!aCall.placedAt.has_value() || *aCall.placedAt >= this->WrittenBytes()) {
    return true;
  }
  if (aCall.resetCode == NGHTTP2_REFUSED_STREAM) {
    return true;
  }
  return this->goawayLast.has_value() && aStream > *this->goawayLast;
}

CallResult EntryLink::Judge(std::int32_t aStream, Call& aCall, std::string_view aDefaultReason)
{
  if (this->IsProvenNotRun(aStream, aCall)) {
    const bool refused = aCall.resetCode == NGHTTP2_REFUSED_STREAM;
    std::string reason(refused ? "refused_stream" : aDefaultReason);
    if (refused && aCall.head.refused.has_value()) {
      reason = *aCall.head.refused;
    } else if (!refused && this->goawayLast.has_value() && aStream > *this->goawayLast) {
      reason = "link_draining";
    }
    return { CallEnd::NotRun, std::move(reason), {} };
  }
  std::string_view fault = aCall.fault;
  if (fault.empty() && (!aCall.ended || aCall.resetCode.has_value())) {
    fault = aDefaultReason;
  } else if (fault.empty() && !aCall.head.IsComplete()) {
    fault = "bad_answer";
  } else if (fault.empty() && aCall.head.id != aCall.request) {
    fault = "request_id_mismatch";
  } else if (fault.empty() && aCall.head.answer.body.size() != aCall.head.bodyBytes) {
    fault = "length_mismatch";
  }
  if (!fault.empty()) {
    return { CallEnd::Unknown, std::string(fault), {} };
  }
  return { CallEnd::Answered, {}, std::move(aCall.head.answer) };
}

void EntryLink::EndCall(std::int32_t aStream, std::string_view aDefaultReason)
{
  Call* call = this->Find(aStream);
  if (call == nullptr) {
    return;
  }
  this->Release(*call);
  CallResult result = this->Judge(aStream, *call, aDefaultReason);
  // The agent chooses the text of a refusal, so it is no label of a counter.
  const bool byAgent = call->head.refused.has_value() && result.end == CallEnd::NotRun;
  const std::string label = byAgent ? "refused_by_agent" : result.reason;
  const CallId id = call->id;
  Callback callback = std::move(call->callback);
  this->streams.erase(id);
  this->calls.erase(aStream);
  this->CloseIfExhausted();
  this->DeliverResult(id, std::move(callback), std::move(result), label);
}

void EntryLink::Release(const Call& aCall)
{
  this->pendingBodyBytes -= aCall.body.size() - aCall.bodySent;
  this->bufferedBodyBytes -= aCall.head.answer.body.size();
}

void EntryLink::CloseIfExhausted()
{
  if (this->exhausted && this->calls.empty()) {
    this->Deliver([this] { this->Close("stream_ids_exhausted"); });
  }
}

void EntryLink::DeliverResult(CallId aId,
                              Callback aCallback,
                              CallResult aResult,
                              std::string_view aLabel)
{
  if (aResult.end == CallEnd::Answered) {
    this->Count().Add("link_calls_total", "answered");
  } else {
    const bool notRun = aResult.end == CallEnd::NotRun;
    this->Count().Add(notRun ? "link_calls_not_run_total" : "link_calls_unknown_total", aLabel);
  }
  this->Deliver([this, id = aId, callback = std::move(aCallback), result = std::move(aResult)] {
    if (this->claimResult && this->claimResult(id) && callback) {
      callback(result);
    }
  });
}

} // namespace oriolespread::internal
