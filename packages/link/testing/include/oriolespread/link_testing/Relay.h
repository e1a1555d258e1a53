// Forwards bytes between a dialer and a listener, and can cut or change them on the way.
#pragma once

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace oriolespread {

inline asio::ip::tcp::endpoint Loopback(std::uint16_t aPort)
{
  return { asio::ip::address_v4::loopback(), aPort };
}

// One forwarded connection.
class Relay : public std::enable_shared_from_this<Relay>
{
public:
  enum Direction
  {
    ToEntry = 0,
    ToAgent = 1,
  };

  Relay(asio::ip::tcp::socket aAgent, asio::ip::tcp::socket aEntry)
    : sockets{ std::move(aAgent), std::move(aEntry) }
  {
  }

  void Start()
  {
    this->Forward(ToEntry);
    this->Forward(ToAgent);
  }
  // Lets this many further bytes pass in one direction, then breaks the connection.
  void CutAfter(Direction aDirection, std::size_t aBytes)
  {
    this->left[aDirection] = aBytes;
    if (aBytes == 0) {
      this->Cut();
    }
  }
  void Cut()
  {
    asio::error_code ignored;
    this->sockets[0].close(ignored);
    this->sockets[1].close(ignored);
  }

  // Number of bytes that passed.
  std::array<std::size_t, 2> passed{};
  // May change the bytes of a direction.
  std::function<void(Direction, std::string&)> tamper;

private:
  void Forward(Direction aDirection)
  {
    auto& buffer = this->buffers[aDirection];
    buffer.resize(1U << 14U);
    this->sockets[aDirection].async_read_some(
      asio::buffer(buffer),
      [self = this->shared_from_this(), aDirection](asio::error_code aError, std::size_t aSize) {
        if (aError) {
          self->Cut();
        } else {
          self->Pass(aDirection, aSize);
        }
      });
  }
  void Pass(Direction aDirection, std::size_t aSize)
  {
    const std::size_t size = std::min(aSize, this->left[aDirection]);
    auto& buffer = this->buffers[aDirection];
    buffer.resize(size);
    if (this->tamper) {
      this->tamper(aDirection, buffer);
    }
    this->passed[aDirection] += size;
    this->left[aDirection] -= size;
    asio::async_write(this->sockets[1 - aDirection],
                      asio::buffer(buffer),
                      [self = this->shared_from_this(), aDirection](asio::error_code aError,
                                                                    std::size_t /*aSize*/) {
                        if (aError || self->left[aDirection] == 0) {
                          self->Cut();
                        } else {
                          self->Forward(aDirection);
                        }
                      });
  }

  std::array<asio::ip::tcp::socket, 2> sockets;
  std::array<std::string, 2> buffers;
  std::array<std::size_t, 2> left{ std::numeric_limits<std::size_t>::max(),
                                   std::numeric_limits<std::size_t>::max() };
};

// Accepts connections for a listener at another port; `current` is the newest relay.
class RelayServer
{
public:
  RelayServer(asio::io_context& aContext, std::uint16_t aEntryPort)
    : acceptor(aContext, Loopback(0))
    , entryPort(aEntryPort)
  {
    this->Accept();
  }
  ~RelayServer()
  {
    asio::error_code ignored;
    this->acceptor.close(ignored);
    if (this->current != nullptr) {
      this->current->Cut();
    }
  }
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  std::uint16_t Port() const { return this->acceptor.local_endpoint().port(); }

  std::shared_ptr<Relay> current;
  std::function<void(Relay::Direction, std::string&)> tamper;

private:
  void Accept()
  {
    this->acceptor.async_accept([this](asio::error_code aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      asio::ip::tcp::socket entry(this->acceptor.get_executor());
      asio::error_code error;
      entry.connect(Loopback(this->entryPort), error);
      // Without it each small write waits for the peer's delayed acknowledgement.
      entry.set_option(asio::ip::tcp::no_delay(true), error);
      aSocket.set_option(asio::ip::tcp::no_delay(true), error);
      this->current = std::make_shared<Relay>(std::move(aSocket), std::move(entry));
      this->current->tamper = this->tamper;
      this->current->Start();
      this->Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor;
  std::uint16_t entryPort;
};

} // namespace oriolespread
