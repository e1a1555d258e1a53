// Many connections that send the same bytes to one server and stay open.
#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace oriolespread::crowd {

// The bytes that each connection sends: the parts in turn, each a number of times.
struct CrowdPart
{
  std::string bytes;
  std::size_t times = 1;
};

struct CrowdLoad
{
  std::vector<CrowdPart> parts;
  std::size_t connections = 1;
};

// Sends and never reads. A connection that the server ends is not opened again.
class Crowd
{
public:
  Crowd(asio::io_context& aContext, const asio::ip::tcp::endpoint& aServer, CrowdLoad aLoad);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  // Returns how many connections have sent everything, and how many have failed before that.
  std::size_t Sent() const { return this->sent; }
  std::size_t Failed() const { return this->failed; }

private:
  struct Client
  {
    asio::ip::tcp::socket socket;
    std::size_t part = 0;
    std::size_t times = 0;
  };

  void Send(const std::shared_ptr<Client>& aClient);

  CrowdLoad load;
  std::vector<std::shared_ptr<Client>> clients;
  std::size_t sent = 0;
  std::size_t failed = 0;
};

} // namespace oriolespread::crowd
