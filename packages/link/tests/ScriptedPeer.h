// A peer that holds the key and speaks HTTP/2 correctly, but sends the headers and data that a test
// chooses.
#pragma once

#include "CallWire.h"
#include "Connection.h"
#include "LinkPair.h"

#include "oriolespread/link_testing/Relay.h"

#include <map>

namespace oriolespread {

class ScriptedPeer : public internal::Connection
{
public:
  ScriptedPeer(asio::ip::tcp::socket aSocket, internal::Role aRole, Counters& aCounters)
    : Connection(std::move(aSocket),
                 { aRole, "scripted", "dc-9", {} },
                 kTestKey,
                 {},
                 TestLimits(),
                 {},
                 aCounters)
  {
  }

  // Sends an answer (agent) or opens a stream and returns it (entry).
  std::int32_t Send(std::int32_t aStream, const internal::HeaderList& aHeaders, std::string aBody)
  {
    const nghttp2_data_provider provider = BodyProvider();
    const auto entries = aHeaders.Entries();
    if (aStream > 0) {
      this->bodies[aStream] = std::move(aBody);
      nghttp2_submit_response(this->Session(), aStream, entries.data(), entries.size(), &provider);
    } else {
      aStream = nghttp2_submit_request(
        this->Session(), nullptr, entries.data(), entries.size(), &provider, nullptr);
      this->bodies[aStream] = std::move(aBody);
    }
    this->ScheduleFlush();
    return aStream;
  }
  void Reset(std::int32_t aStream, std::uint32_t aCode)
  {
    nghttp2_submit_rst_stream(this->Session(), NGHTTP2_FLAG_NONE, aStream, aCode);
    this->ScheduleFlush();
  }

  // Runs for each whole request or answer.
  std::function<void(std::int32_t aStream)> onEnd = [](std::int32_t) {};
  std::map<std::int32_t, std::uint32_t> resets;

protected:
  void OnBeginHeaders(std::int32_t /*aStream*/) override {}
  void OnHeader(std::int32_t /*aStream*/, std::string_view, std::string_view) override {}
  void OnData(std::int32_t /*aStream*/, std::string_view) override {}
  void OnEndStream(std::int32_t aStream) override { this->onEnd(aStream); }
  void OnReset(std::int32_t aStream, std::uint32_t aCode) override
  {
    this->resets[aStream] = aCode;
  }
  void OnStreamClosed(std::int32_t /*aStream*/, std::uint32_t) override {}
  std::size_t ReadBody(std::int32_t aStream,
                       std::uint8_t* aTarget,
                       std::size_t aSize,
                       bool& aEnd) override
  {
    std::string& body = this->bodies[aStream];
    const std::size_t taken = std::min(aSize, body.size());
    std::copy_n(body.data(), taken, aTarget);
    body.erase(0, taken);
    aEnd = body.empty();
    return taken;
  }
  void OnClosed(std::string_view /*aReason*/) override {}

private:
  std::map<std::int32_t, std::string> bodies;
};

} // namespace oriolespread
