#include "oriolespread/service/UpstreamCaller.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

using namespace oriolespread;

namespace {

// A server that does not accept: once its queue is full, further connects are not answered.
class FullServer
{
public:
  FullServer()
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(this->listener, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(this->listener, 0) == 0);
    REQUIRE(getsockname(this->listener, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    this->port = ntohs(address.sin_port);
    for (int& filler : this->fillers) {
      filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      const int result = connect(filler, reinterpret_cast<sockaddr*>(&address), size);
      REQUIRE((result == 0 || errno == EINPROGRESS));
    }
  }
  FullServer(const FullServer&) = delete;
  FullServer& operator=(const FullServer&) = delete;
  ~FullServer()
  {
    for (const int filler : this->fillers) {
      close(filler);
    }
    close(this->listener);
  }

  int Port() const { return this->port; }

private:
  int listener = socket(AF_INET, SOCK_STREAM, 0);
  std::array<int, 4> fillers{};
  int port = 0;
};

} // namespace

// Guards against telling a caller that the outcome is unknown although no connection was made.
TEST_CASE("UpstreamCaller ReportsNotConnectedWhenTheConnectTimesOut")
{
  const FullServer server;
  UpstreamClients clients;
  CallRequest request;
  request.method = "POST";
  request.path = "/";
  request.deadlineLeft = std::chrono::seconds(5);
  const UpstreamResult result =
    CallUpstream(clients.For({ "127.0.0.1", static_cast<std::uint16_t>(server.Port()) }), request);
  CHECK(result.end == UpstreamEnd::NotConnected);
}
