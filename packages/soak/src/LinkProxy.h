// A loopback proxy for one TCP address that delays, silences or resets what passes through it.
#pragma once

#include "oriolespread/base/Time.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace oriolespread::soak {

struct LinkFault
{
  // Bytes of this direction are held back until the fault ends.
  bool cutToServer = false;
  bool cutToClient = false;
  Duration delay{};
};

class LinkProxy
{
public:
  LinkProxy(asio::io_context& aContext,
            const std::string& aListenIp,
            const std::string& aServerIp,
            std::uint16_t aPort);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  void SetFault(const LinkFault& aFault) { this->fault = aFault; }
  // Holds back the bytes of both directions on connections of the agent with this name.
  void SetAgentCut(const std::string& aAgent, bool aCut);
  void ResetAll();
  // Leaves the present connections open without forwarding anything more, not even their end, as
  // the loss of a machine's power does.
  void Abandon();

private:
  struct Pair;

  void Accept();
  void Pump(const std::shared_ptr<Pair>& aPair, bool aToServer);
  void Forward(const std::shared_ptr<Pair>& aPair, bool aToServer, std::size_t aSize);
  bool IsCut(const Pair& aPair, bool aToServer) const;
  void Send(const std::shared_ptr<Pair>& aPair, bool aToServer, std::size_t aSize);
  // Closes a pair unless it was abandoned.
  void Close(const std::shared_ptr<Pair>& aPair);

  asio::io_context& context;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::endpoint server;
  LinkFault fault;
  std::set<std::string> cutAgents;
  std::set<std::shared_ptr<Pair>> pairs;
  // Open until the proxy is destroyed.
  std::vector<std::shared_ptr<Pair>> abandoned;
  std::shared_ptr<bool> alive;
};

} // namespace oriolespread::soak
