// Output of a Connection: from nghttp2 to the socket.
#include "Connection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>

namespace oriolespread::internal {

namespace {

// One write moves at most this much, so that one busy link does not hold up the others on the loop.
constexpr std::size_t kWriteChunkBytes = std::size_t{ 64 } << 10U;

} // namespace

void Connection::ScheduleFlush()
{
  if (this->flushScheduled || this->closed) {
    return;
  }
  this->flushScheduled = true;
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    self->flushScheduled = false;
    self->Flush();
  });
}

void Connection::Flush()
{
  if (this->closed || this->awaitingWritable || this->outputEnded) {
    return;
  }
  while (this->Refill()) {
    asio::error_code error;
    const std::size_t size =
      this->socket.write_some(asio::buffer(this->output.data() + this->outputOffset,
                                           this->output.size() - this->outputOffset),
                              error);
    if (error == asio::error::would_block) {
      this->AwaitWritable();
      return;
    }
    if (error) {
      this->Close("write_failed");
      return;
    }
    this->outputOffset += size;
    this->written += size;
  }
  if (this->closed) {
    return;
  }
  if (this->endAfterOutput) {
    this->FinishOutput();
  } else if (nghttp2_session_want_read(this->session) == 0 &&
             nghttp2_session_want_write(this->session) == 0) {
    this->Close("protocol_error");
  }
}

// Returns whether there are bytes to write.
bool Connection::Refill()
{
  if (this->outputOffset < this->output.size()) {
    return true;
  }
  this->output.clear();
  this->outputOffset = 0;
  while (this->output.size() < kWriteChunkBytes) {
    const std::uint8_t* bytes = nullptr;
    this->insideNghttp2 = true;
    const ssize_t size = nghttp2_session_mem_send(this->session, &bytes);
    this->insideNghttp2 = false;
    if (size < 0 || !this->failure.empty()) {
      this->Close(this->failure.empty() ? std::string_view("send_failed") : this->failure);
      return false;
    }
    if (size == 0) {
      break;
    }
    this->output.append(reinterpret_cast<const char*>(bytes), static_cast<std::size_t>(size));
    this->produced += static_cast<std::uint64_t>(size);
  }
  if (!this->deliveries.empty()) {
    this->ScheduleDelivery();
  }
  return !this->output.empty();
}

void Connection::AwaitWritable()
{
  this->awaitingWritable = true;
  this->socket.async_wait(asio::ip::tcp::socket::wait_write,
                          [self = this->shared_from_this()](asio::error_code aError) {
                            self->awaitingWritable = false;
                            if (!aError) {
                              self->Flush();
                            }
                          });
}

void Connection::CloseAfterOutput(std::string_view aReason)
{
  this->finalReason = aReason;
  this->endAfterOutput = true;
  this->ScheduleFlush();
}

void Connection::FinishOutput()
{
  // Closing a socket with unread input makes TCP discard output that the peer has not read yet. So
  // only the output ends here, and input is read until the peer closes.
  asio::error_code error;
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  this->outputEnded = true;
  if (error) {
    this->Close("shutdown_failed");
  }
}

} // namespace oriolespread::internal
