// Guards against work that grows with the square of the number of small chunks. Allocated bytes are
// counted, as a time would depend on the machine: each growth of a buffer allocates its new size
// and moves its old content.
#include "oriolespread/http/HttpServer.h"

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> allocatedBytes{ 0 };

} // namespace

void* operator new(std::size_t aSize)
{
  allocatedBytes += aSize;
  void* memory = std::malloc(aSize == 0 ? 1 : aSize);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

void operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void operator delete(void* aMemory, std::size_t /*aSize*/) noexcept
{
  std::free(aMemory);
}

using namespace oriolespread;

TEST_CASE("HttpServer AllocatesInProportionToTheBodyWhenItComesInChunksOfOneByte")
{
  asio::io_context context;
  Counters counters;
  std::size_t received = 0;
  const auto server = *HttpServer::Create(
    context,
    "127.0.0.1",
    0,
    {},
    [&](const HttpRequest& aRequest, const HttpServer::Reply& aReply) {
      received = aRequest.body.size();
      aReply({ kHttpOk, {}, {} });
    },
    counters);
  constexpr std::size_t kChunks = 262144;
  std::string bytes = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t index = 0; index < kChunks; ++index) {
    bytes += "1\r\nx\r\n";
  }
  bytes += "0\r\n\r\n";
  asio::ip::tcp::socket client(context);
  client.connect({ asio::ip::make_address("127.0.0.1"), server->Port() });
  client.non_blocking(true);
  asio::async_write(client, asio::buffer(bytes), [](asio::error_code, std::size_t) {});
  const std::uint64_t before = allocatedBytes;
  for (int turn = 0; turn < 100000 && received == 0; ++turn) {
    context.run_one_for(std::chrono::milliseconds(50));
  }
  CHECK(received == kChunks);
  CHECK(allocatedBytes - before <= bytes.size() * 4);
}
