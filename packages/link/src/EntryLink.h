// The entry's side of one connection: the HTTP/2 client that opens a stream for each call and
// decides how the call ended.
#pragma once

#include "CallWire.h"
#include "Connection.h"
#include "absl/container/flat_hash_map.h"

#include "oriolespread/link/LinkTypes.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace oriolespread::internal {

class EntryLink : public Connection
{
public:
  using Callback = std::function<void(const CallResult&)>;

  EntryLink(asio::ip::tcp::socket aSocket,
            Hello aOwn,
            std::string aKey,
            const LinkLimits& aLimits,
            Handlers aHandlers,
            Counters& aCounters);

  // Starts a call, or delivers why it was not run.
  void StartCall(CallId aId, const CallRequest& aRequest, Callback aCallback);
  // Drops the call; its callback is released without a run.
  void CancelCall(CallId aId);

  // Runs when the callback of a call is due and returns whether it is still wanted. Set before
  // Start and reset before its target goes.
  std::function<bool(CallId)> claimResult;

protected:
  void OnHeadersFrame(std::int32_t aStream) override;
  void OnBeginHeaders(std::int32_t /*aStream*/) override {}
  void OnHeader(std::int32_t aStream, std::string_view aName, std::string_view aValue) override;
  void OnData(std::int32_t aStream, std::string_view aBytes) override;
  void OnEndStream(std::int32_t aStream) override;
  void OnReset(std::int32_t aStream, std::uint32_t aCode) override;
  void OnStreamClosed(std::int32_t aStream, std::uint32_t aCode) override;
  std::size_t ReadBody(std::int32_t aStream,
                       std::uint8_t* aTarget,
                       std::size_t aSize,
                       bool& aEnd) override;
  void OnRequestPlaced(std::int32_t aStream, std::uint64_t aOffset) override;
  void OnGoaway(std::int32_t aLastStream) override;
  void OnClosed(std::string_view aReason) override;

private:
  struct Call
  {
    CallId id;
    RequestId request;
    Callback callback;
    std::string body;
    std::size_t bodySent = 0;
    // Offset of the request headers in the output; only set once they are part of it.
    std::optional<std::uint64_t> placedAt;
    AnswerHead head;
    std::size_t headerBytes = 0;
    bool ended = false;
    std::optional<std::uint32_t> resetCode;
    // Why this side reset the stream; empty when it did not.
    std::string_view fault;
  };

  Call* Find(std::int32_t aStream);
  std::string_view CheckStart(const CallRequest& aRequest);
  void FailCall(std::int32_t aStream, Call& aCall, std::string_view aFault);
  CallResult Judge(std::int32_t aStream, Call& aCall, std::string_view aDefaultReason);
  bool IsProvenNotRun(std::int32_t aStream, const Call& aCall) const;
  void EndCall(std::int32_t aStream, std::string_view aDefaultReason);
  void DeliverResult(CallId aId, Callback aCallback, CallResult aResult, std::string_view aLabel);
  void Release(const Call& aCall);
  void CloseIfExhausted();

  absl::flat_hash_map<std::int32_t, std::unique_ptr<Call>> calls;
  absl::flat_hash_map<CallId, std::int32_t> streams;
  std::optional<std::int32_t> goawayLast;
  // All stream ids of the connection are used up; it closes after the last call.
  bool exhausted = false;
  // Bodies that have not been handed to nghttp2 yet, and parts of answers.
  std::size_t pendingBodyBytes = 0;
  std::size_t bufferedBodyBytes = 0;
};

} // namespace oriolespread::internal
