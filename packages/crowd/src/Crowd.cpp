#include "Crowd.h"

#include <asio/write.hpp>

#include <utility>

namespace oriolespread::crowd {

Crowd::Crowd(asio::io_context& aContext, const asio::ip::tcp::endpoint& aServer, CrowdLoad aLoad)
  : load(std::move(aLoad))
{
  for (std::size_t index = 0; index < this->load.connections; ++index) {
    auto client = std::make_shared<Client>(Client{ asio::ip::tcp::socket(aContext) });
    this->clients.push_back(client);
    client->socket.async_connect(aServer, [this, client](asio::error_code aError) {
      if (aError == asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        ++this->failed;
        return;
      }
      this->Send(client);
    });
  }
}

Crowd::~Crowd()
{
  for (const auto& client : this->clients) {
    asio::error_code ignored;
    client->socket.close(ignored);
  }
}

void Crowd::Send(const std::shared_ptr<Client>& aClient)
{
  if (aClient->part == this->load.parts.size()) {
    ++this->sent;
    return;
  }
  const CrowdPart& part = this->load.parts[aClient->part];
  if (++aClient->times >= part.times) {
    ++aClient->part;
    aClient->times = 0;
  }
  asio::async_write(aClient->socket,
                    asio::buffer(part.bytes),
                    [this, aClient](asio::error_code aError, std::size_t /*aSize*/) {
                      if (aError == asio::error::operation_aborted) {
                        return;
                      }
                      if (aError) {
                        ++this->failed;
                        return;
                      }
                      this->Send(aClient);
                    });
}

} // namespace oriolespread::crowd
