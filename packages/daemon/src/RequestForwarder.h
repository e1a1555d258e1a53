// Passes callers' requests on to other entries and returns their answers.
#pragma once

#include "oriolespread/cluster/PeerSelector.h"
#include "oriolespread/http/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace oriolespread::daemon {

struct ForwardResult
{
  // The answer of the entry that served the request; empty if none did.
  std::optional<HttpResponse> response;
  // An entry may have stored the request, although no answer says so.
  bool maybeApplied = false;
};

class RequestForwarder
{
public:
  using Callback = std::function<void(const ForwardResult&)>;

  // The references must outlive the forwarder.
  RequestForwarder(asio::io_context& aContext, Counters& aCounters);

  // Replaces the addresses at which other entries take requests that are passed on.
  void SetPeers(const std::set<std::string>& aAddresses);

  // Asks one entry after the other until one serves the request or the deadline is near. The
  // callback runs exactly once, at once if there is no entry to ask.
  void Forward(const HttpRequest& aRequest, Instant aDeadline, Callback aCallback);

private:
  // A request that is being passed on.
  struct Attempt
  {
    HttpRequest request;
    Instant deadline{};
    Callback callback;
    std::set<std::string> tried;
    ForwardResult result;
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  void AskNext(const AttemptPtr& aAttempt);
  void OnAnswer(const AttemptPtr& aAttempt, const std::string& aAddress, const HttpResult& aResult);
  // Returns the client for the address, or null if the address is not valid.
  HttpClient* ClientFor(const std::string& aAddress);

  asio::io_context& context;
  Counters& counters;
  cluster::PeerSelector selector;
  std::map<std::string, std::unique_ptr<HttpClient>> clients;
};

} // namespace oriolespread::daemon
