// Parsing of HTTP requests and writing of HTTP answers of the entry's interface.
#pragma once

#include "oriolespread/requests/RequestEvents.h"
#include "oriolespread/service/JobAnswer.h"
#include "oriolespread/tickets/ConfigView.h"
#include "oriolespread/tickets/TicketEvents.h"

#include <httplib.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread::internal {

struct ServiceTarget
{
  ServiceName service;
  // Path and query for the upstream, as the caller sent them; begins with '/'.
  std::string path;
};

// Takes "/v1/services/<service>/<path>?<query>" apart; nothing when the service's name is invalid.
std::optional<ServiceTarget> ParseServiceTarget(const std::string& aTarget);

// Returns the deadline of the header Oriolespread-Deadline-Ms, at most `aMax`; the default without
// the header; nothing when it is not a positive integer.
std::optional<Duration> ParseDeadline(const httplib::Request& aRequest,
                                      Duration aDefault,
                                      Duration aMax);

// Returns what is passed to the upstream: hop-by-hop headers, credentials and the entry's own
// headers are left out, and the request id is added.
RequestContentPtr MakeContent(const httplib::Request& aRequest,
                              std::string aPath,
                              const RequestId& aId);

// Returns the numbers of a comma-separated list, empty for empty text, nothing when it is invalid.
std::optional<std::vector<std::uint32_t>> ParseTaskList(const std::string& aText);
std::optional<std::uint64_t> ParseNumber(std::string_view aText);

// Job names are unique within an organisation. '~' is not allowed in names, so that no two
// organisations can form the same id.
JobId ScopedJobId(const OrganisationId& aOrganisation, const std::string& aName);

void SetFailure(httplib::Response& aResponse,
                int aStatus,
                std::string_view aOutcome,
                std::string_view aReason);
void SetFindings(httplib::Response& aResponse, std::string_view aReason, const Findings& aFindings);
void SetAnswer(httplib::Response& aResponse, const FinalResponse& aAnswer);
void SetJobAnswer(httplib::Response& aResponse, const JobAnswer& aAnswer, const std::string& aName);
void SetTicketAnswer(httplib::Response& aResponse, const SubmitAnswer& aAnswer);
void SetLogAnswer(httplib::Response& aResponse, const LogAnswer& aAnswer);
void SetStateAnswer(httplib::Response& aResponse, const StateAnswer& aAnswer);
void SetState(httplib::Response& aResponse, const ConfigView& aView);

// Asks another entry for a job of an organisation.
JobAnswer AskPeer(const std::string& aAddress,
                  const std::string& aToken,
                  const OrganisationId& aOrganisation,
                  const std::string& aName);
// Tells another entry of an accepted ticket; failures are ignored, since entries also poll.
void TellPeer(const std::string& aAddress, const std::string& aToken, TicketNumber aNumber);

} // namespace oriolespread::internal
