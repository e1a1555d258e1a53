// Connects nghttp2's C callbacks to a Connection.
#pragma once

#include "Connection.h"

namespace oriolespread::internal {

struct SessionCallbacks
{
  // Returns the callbacks of every session, or null when memory is short.
  static nghttp2_session_callbacks* Make();
  // Data source callback of all streams.
  static ssize_t Read(nghttp2_session* aSession,
                      std::int32_t aStream,
                      std::uint8_t* aTarget,
                      std::size_t aSize,
                      std::uint32_t* aFlags,
                      nghttp2_data_source* aSource,
                      void* aUser);

private:
  static int BeginHeaders(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aUser);
  static int Header(nghttp2_session* aSession,
                    const nghttp2_frame* aFrame,
                    const std::uint8_t* aName,
                    std::size_t aNameSize,
                    const std::uint8_t* aValue,
                    std::size_t aValueSize,
                    std::uint8_t aFlags,
                    void* aUser);
  static int Data(nghttp2_session* aSession,
                  std::uint8_t aFlags,
                  std::int32_t aStream,
                  const std::uint8_t* aBytes,
                  std::size_t aSize,
                  void* aUser);
  static int FrameReceived(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aUser);
  static int StreamClosed(nghttp2_session* aSession,
                          std::int32_t aStream,
                          std::uint32_t aCode,
                          void* aUser);
  static int BeforeSend(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aUser);
  static int FrameSent(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aUser);
  static int FrameHeader(nghttp2_session* aSession, const nghttp2_frame_hd* aHeader, void* aUser);
  static int Result(const Connection& aConnection);
};

} // namespace oriolespread::internal
