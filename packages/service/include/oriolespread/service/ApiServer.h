// The HTTP interface of an entry: requests of callers, jobs, change tickets, status and metrics.
// docs/OPERATIONS.md lists the paths.
#pragma once

#include "oriolespread/auth/TokenTable.h"
#include "oriolespread/service/ControlDriver.h"
#include "oriolespread/service/RequestDriver.h"
#include "oriolespread/settings/EntrySettings.h"

#include <httplib.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace oriolespread {

// Handlers run on the pool of the HTTP library; decisions are made on the loops of the drivers.
// `aRequests`, `aControl` and `aCounters` outlive the server.
class ApiServer
{
public:
  ApiServer(const EntrySettings& aSettings,
            TokenTable aTokens,
            Incarnation aIncarnation,
            RequestDriver& aRequests,
            ControlDriver& aControl,
            Counters& aCounters);
  ~ApiServer();

  // Returns Unavailable when the address cannot be bound.
  absl::Status Bind();
  std::uint16_t Port() const { return this->port; }
  // Begins to answer.
  void Start();
  // Makes /readyz fail; everything else goes on.
  void FailReadiness() { this->ready = false; }
  // Ends the server after the requests in progress.
  void Stop();

  // The configuration that requests are checked against. Thread-safe.
  void SetConfig(std::shared_ptr<const ConfigView> aConfig);

private:
  using Handler = httplib::Server::Handler;

  void AddServiceRoutes();
  void AddJobRoutes();
  void AddTicketRoutes();
  void AddStatusRoutes();
  // Wrap a handler with the check of the caller's token.
  Handler ForOrganisation(
    std::function<void(const OrganisationId&, const httplib::Request&, httplib::Response&)>
      aHandler);
  Handler ForOperator(Handler aHandler);
  Handler ForPeer(Handler aHandler);

  void ServeRequest(const OrganisationId& aOrganisation,
                    const httplib::Request& aRequest,
                    httplib::Response& aResponse);
  void ServeSubmit(const OrganisationId& aOrganisation,
                   const httplib::Request& aRequest,
                   httplib::Response& aResponse);
  void ServeShowJob(const OrganisationId& aOrganisation,
                    const httplib::Request& aRequest,
                    httplib::Response& aResponse);
  void ServeCancel(const OrganisationId& aOrganisation,
                   const httplib::Request& aRequest,
                   httplib::Response& aResponse);
  void ServeTicket(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ServeTicketLog(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ServeState(const httplib::Request& aRequest, httplib::Response& aResponse);
  void ServeStatus(httplib::Response& aResponse);
  void ServeMetrics(httplib::Response& aResponse);
  void ServePeerJob(const httplib::Request& aRequest, httplib::Response& aResponse);
  void NotifyPeers(TicketNumber aNumber);

  std::shared_ptr<const ConfigView> Config() const;
  // Answers an own failure of a request, with outcome and reason.
  void Refuse(httplib::Response& aResponse, int aStatus, const char* aReason);
  // Returns whether the request keeps to the limits of the settings; answers it when not.
  bool IsWithinLimits(const httplib::Request& aRequest, httplib::Response& aResponse);
  // Answers a request whose fate is not known, because the engine has stopped.
  void LoseAnswer(httplib::Response& aResponse);

  const EntrySettings& settings;
  TokenTable tokens;
  Incarnation incarnation;
  RequestDriver& requests;
  ControlDriver& control;
  Counters& counters;
  std::string peerToken;
  httplib::Server server;
  std::thread thread;
  std::uint16_t port = 0;
  std::atomic<bool> ready = true;
  std::atomic<std::uint64_t> lastRequest = 0;
  mutable std::mutex configMutex;
  std::shared_ptr<const ConfigView> config;
};

} // namespace oriolespread
