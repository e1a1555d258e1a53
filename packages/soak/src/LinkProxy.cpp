#include "LinkProxy.h"

#include <asio/write.hpp>

#include <algorithm>
#include <array>

namespace oriolespread::soak {

namespace {

// An agent's name is within so many bytes from the start of a connection.
constexpr std::size_t kHelloBytes = 512;
constexpr Duration kHeldPoll = std::chrono::milliseconds(50);

} // namespace

struct LinkProxy::Pair
{
  explicit Pair(asio::ip::tcp::socket aClient)
    : client(std::move(aClient))
    , server(client.get_executor())
  {
  }

  asio::ip::tcp::socket client;
  asio::ip::tcp::socket server;
  // The first bytes of the client, which contain its name.
  std::string hello;
  std::array<char, 16384> toServer{};
  std::array<char, 16384> toClient{};
};

LinkProxy::LinkProxy(asio::io_context& aContext,
                     const std::string& aListenIp,
                     const std::string& aServerIp,
                     std::uint16_t aPort)
  : context(aContext)
  , acceptor(aContext, { asio::ip::make_address(aListenIp), aPort })
  , server(asio::ip::make_address(aServerIp), aPort)
  , alive(std::make_shared<bool>(true))
{
  this->Accept();
}

LinkProxy::~LinkProxy()
{
  *this->alive = false;
  this->ResetAll();
}

void LinkProxy::Accept()
{
  this->acceptor.async_accept(
    [this, stillAlive = this->alive](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError || !*stillAlive) {
        return;
      }
      auto pair = std::make_shared<Pair>(std::move(aSocket));
      this->pairs.insert(pair);
      pair->server.async_connect(this->server,
                                 [this, stillAlive, pair](asio::error_code aConnectError) {
                                   if (!*stillAlive) {
                                     return;
                                   }
                                   if (aConnectError) {
                                     this->Close(pair);
                                     return;
                                   }
                                   this->Pump(pair, true);
                                   this->Pump(pair, false);
                                 });
      this->Accept();
    });
}

void LinkProxy::Pump(const std::shared_ptr<Pair>& aPair, bool aToServer)
{
  auto& from = aToServer ? aPair->client : aPair->server;
  auto& buffer = aToServer ? aPair->toServer : aPair->toClient;
  from.async_read_some(
    asio::buffer(buffer),
    [this, stillAlive = this->alive, aPair, aToServer](asio::error_code aError, std::size_t aSize) {
      if (!*stillAlive) {
        return;
      }
      if (aError) {
        this->Close(aPair);
        return;
      }
      if (!this->pairs.contains(aPair)) {
        return;
      }
      if (aToServer && aPair->hello.size() < kHelloBytes) {
        aPair->hello.append(aPair->toServer.data(), aSize);
      }
      this->Forward(aPair, aToServer, aSize);
    });
}

void LinkProxy::Forward(const std::shared_ptr<Pair>& aPair, bool aToServer, std::size_t aSize)
{
  const bool cut = this->IsCut(*aPair, aToServer);
  const Duration wait = cut ? kHeldPoll : this->fault.delay;
  if (wait > Duration::zero()) {
    auto timer = std::make_shared<asio::steady_timer>(this->context, wait);
    timer->async_wait(
      [this, stillAlive = this->alive, timer, aPair, aToServer, aSize, cut](asio::error_code) {
        if (!*stillAlive || !this->pairs.contains(aPair)) {
          return;
        }
        if (cut) {
          this->Forward(aPair, aToServer, aSize);
        } else {
          this->Send(aPair, aToServer, aSize);
        }
      });
    return;
  }
  this->Send(aPair, aToServer, aSize);
}

void LinkProxy::SetAgentCut(const std::string& aAgent, bool aCut)
{
  if (aCut) {
    this->cutAgents.insert(aAgent);
  } else {
    this->cutAgents.erase(aAgent);
  }
}

bool LinkProxy::IsCut(const Pair& aPair, bool aToServer) const
{
  if (aToServer ? this->fault.cutToServer : this->fault.cutToClient) {
    return true;
  }
  return std::any_of(
    this->cutAgents.begin(), this->cutAgents.end(), [&](const std::string& aAgent) {
      // A name is sent with its length before it.
      const std::string sized = static_cast<char>(aAgent.size()) + aAgent;
      return aPair.hello.find(sized) != std::string::npos;
    });
}

void LinkProxy::Send(const std::shared_ptr<Pair>& aPair, bool aToServer, std::size_t aSize)
{
  auto& to = aToServer ? aPair->server : aPair->client;
  auto& buffer = aToServer ? aPair->toServer : aPair->toClient;
  asio::async_write(to,
                    asio::buffer(buffer, aSize),
                    [this, stillAlive = this->alive, aPair, aToServer](asio::error_code aError,
                                                                       std::size_t /*aSize*/) {
                      if (!*stillAlive) {
                        return;
                      }
                      if (aError) {
                        this->Close(aPair);
                        return;
                      }
                      this->Pump(aPair, aToServer);
                    });
}

void LinkProxy::Close(const std::shared_ptr<Pair>& aPair)
{
  if (this->pairs.erase(aPair) == 0) {
    return;
  }
  asio::error_code ignored;
  aPair->client.set_option(asio::socket_base::linger(true, 0), ignored);
  aPair->client.close(ignored);
  aPair->server.close(ignored);
}

void LinkProxy::Abandon()
{
  this->abandoned.insert(this->abandoned.end(), this->pairs.begin(), this->pairs.end());
  this->pairs.clear();
}

void LinkProxy::ResetAll()
{
  const auto open = this->pairs;
  for (const auto& pair : open) {
    this->Close(pair);
  }
}

} // namespace oriolespread::soak
