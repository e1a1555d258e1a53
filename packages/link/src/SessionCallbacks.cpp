#include "SessionCallbacks.h"

namespace oriolespread::internal {

namespace {

Connection& Self(void* aUser)
{
  return *static_cast<Connection*>(aUser);
}

std::string_view View(const std::uint8_t* aBytes, std::size_t aSize)
{
  return { reinterpret_cast<const char*>(aBytes), aSize };
}

bool EndsStream(const nghttp2_frame& aFrame)
{
  const bool carriesEnd = aFrame.hd.type == NGHTTP2_HEADERS || aFrame.hd.type == NGHTTP2_DATA;
  return carriesEnd && (aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
}

} // namespace

nghttp2_session_callbacks* SessionCallbacks::Make()
{
  nghttp2_session_callbacks* callbacks = nullptr;
  if (nghttp2_session_callbacks_new(&callbacks) != 0) {
    return nullptr;
  }
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, BeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, Header);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, Data);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, FrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, StreamClosed);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks, BeforeSend);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, FrameSent);
  nghttp2_session_callbacks_set_on_begin_frame_callback(callbacks, FrameHeader);
  return callbacks;
}

int SessionCallbacks::Result(const Connection& aConnection)
{
  return aConnection.failure.empty() ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

int SessionCallbacks::FrameHeader(nghttp2_session* /*aSession*/,
                                  const nghttp2_frame_hd* aHeader,
                                  void* aUser)
{
  Connection& self = Self(aUser);
  // Before the proof the peer has no business beyond the connection itself and the control stream.
  if (aHeader->stream_id > kControlStream && !self.channel.IsUp()) {
    self.Fail("stream_before_proof");
  } else if (aHeader->stream_id > kControlStream && aHeader->type == NGHTTP2_HEADERS) {
    self.OnHeadersFrame(aHeader->stream_id);
  }
  return Result(self);
}

int SessionCallbacks::BeginHeaders(nghttp2_session* /*aSession*/,
                                   const nghttp2_frame* aFrame,
                                   void* aUser)
{
  Connection& self = Self(aUser);
  if (aFrame->hd.stream_id != kControlStream) {
    self.OnBeginHeaders(aFrame->hd.stream_id);
  }
  return Result(self);
}

int SessionCallbacks::Header(nghttp2_session* /*aSession*/,
                             const nghttp2_frame* aFrame,
                             const std::uint8_t* aName,
                             std::size_t aNameSize,
                             const std::uint8_t* aValue,
                             std::size_t aValueSize,
                             std::uint8_t /*aFlags*/,
                             void* aUser)
{
  Connection& self = Self(aUser);
  if (aFrame->hd.stream_id != kControlStream) {
    self.OnHeader(aFrame->hd.stream_id, View(aName, aNameSize), View(aValue, aValueSize));
  }
  return Result(self);
}

int SessionCallbacks::Data(nghttp2_session* /*aSession*/,
                           std::uint8_t /*aFlags*/,
                           std::int32_t aStream,
                           const std::uint8_t* aBytes,
                           std::size_t aSize,
                           void* aUser)
{
  Connection& self = Self(aUser);
  if (aStream == kControlStream) {
    self.OnControlData(View(aBytes, aSize));
  } else {
    self.OnData(aStream, View(aBytes, aSize));
  }
  return Result(self);
}

int SessionCallbacks::FrameReceived(nghttp2_session* /*aSession*/,
                                    const nghttp2_frame* aFrame,
                                    void* aUser)
{
  Connection& self = Self(aUser);
  const std::int32_t stream = aFrame->hd.stream_id;
  if (aFrame->hd.type == NGHTTP2_GOAWAY) {
    self.OnGoaway(aFrame->goaway.last_stream_id);
  } else if (aFrame->hd.type == NGHTTP2_PING && (aFrame->hd.flags & NGHTTP2_FLAG_ACK) != 0) {
    self.pingPending = false;
  } else if (aFrame->hd.type == NGHTTP2_HEADERS && stream == kControlStream && self.isServer) {
    nghttp2_nv status{};
    status.name = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(":status"));
    status.namelen = 7;
    status.value = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>("200"));
    status.valuelen = 3;
    const nghttp2_data_provider provider = Connection::BodyProvider();
    nghttp2_submit_response(self.session, stream, &status, 1, &provider);
  } else if (aFrame->hd.type == NGHTTP2_RST_STREAM && stream != kControlStream) {
    self.OnReset(stream, aFrame->rst_stream.error_code);
  }
  if (EndsStream(*aFrame)) {
    if (stream == kControlStream) {
      self.Fail("control_stream_ended");
    } else {
      self.OnEndStream(stream);
    }
  }
  return Result(self);
}

int SessionCallbacks::StreamClosed(nghttp2_session* /*aSession*/,
                                   std::int32_t aStream,
                                   std::uint32_t aCode,
                                   void* aUser)
{
  Connection& self = Self(aUser);
  if (aStream == kControlStream) {
    self.Fail("control_stream_reset");
  } else {
    self.OnStreamClosed(aStream, aCode);
  }
  return Result(self);
}

int SessionCallbacks::BeforeSend(nghttp2_session* /*aSession*/,
                                 const nghttp2_frame* aFrame,
                                 void* aUser)
{
  Connection& self = Self(aUser);
  // nghttp2 hands out each frame before it prepares the next one, so that the frame starts where
  // the output produced so far ends.
  if (aFrame->hd.type == NGHTTP2_HEADERS && aFrame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    self.OnRequestPlaced(aFrame->hd.stream_id, self.produced);
  }
  return 0;
}

int SessionCallbacks::FrameSent(nghttp2_session* /*aSession*/,
                                const nghttp2_frame* aFrame,
                                void* aUser)
{
  if (aFrame->hd.type == NGHTTP2_HEADERS && aFrame->hd.stream_id != kControlStream) {
    Self(aUser).OnHeadersSent(aFrame->hd.stream_id);
  }
  return 0;
}

ssize_t SessionCallbacks::Read(nghttp2_session* /*aSession*/,
                               std::int32_t aStream,
                               std::uint8_t* aTarget,
                               std::size_t aSize,
                               std::uint32_t* aFlags,
                               nghttp2_data_source* /*aSource*/,
                               void* aUser)
{
  Connection& self = Self(aUser);
  if (aStream == kControlStream) {
    const std::size_t taken = self.channel.TakeOutput(aTarget, aSize);
    return taken == 0 ? ssize_t{ NGHTTP2_ERR_DEFERRED } : static_cast<ssize_t>(taken);
  }
  bool end = false;
  const std::size_t taken = self.ReadBody(aStream, aTarget, aSize, end);
  if (end) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(taken);
}

} // namespace oriolespread::internal
