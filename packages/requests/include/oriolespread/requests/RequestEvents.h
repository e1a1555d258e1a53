// Events and effects of the RequestEngine. Requests and responses are held by shared pointers, so
// that events and effects are cheap to copy and to pass to another thread.
#pragma once

#include "absl/status/statusor.h"

#include "oriolespread/base/RequestId.h"
#include "oriolespread/base/Time.h"
#include "oriolespread/messages/RequestMessages.h"
#include "oriolespread/platform/CommitOutcome.h"
#include "oriolespread/platform/TableServicePort.h"
#include "oriolespread/requests/Outcome.h"
#include "oriolespread/requests/RequestPolicy.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace oriolespread {

// Assigned by the driver, one for each connection of an agent; never reused.
using LinkId = StrongType<struct LinkIdTag, std::uint64_t>;
// Assigned by the engine, one for each StartCall; never reused.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;
// Assigned by the engine, one for each table operation; never reused.
using TableOperationId = StrongType<struct TableOperationIdTag, std::uint64_t>;

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct RequestContent
{
  std::string method;
  std::string path;
  HttpHeaders headers;
  std::string body;
};

struct ResponseContent
{
  int status = 0;
  HttpHeaders headers;
  std::string body;
};

using RequestContentPtr = std::shared_ptr<const RequestContent>;
using ResponseContentPtr = std::shared_ptr<const ResponseContent>;

// ---- Events ----

// A request of an authenticated caller. It leads to exactly one FinalResponse, unless the caller
// disconnects.
struct NewRequest
{
  RequestId id;
  OrganisationId organisation;
  ServiceName service;
  RequestClass requestClass = RequestClass::LatencyCritical;
  RequestContentPtr content;
  Instant deadline;
  // Value of the header Idempotency-Key.
  std::optional<std::string> idempotencyKey;
  // Digest of the body; required only with an idempotency key.
  std::string bodyDigest;
};

// An agent has connected and is authenticated by the link key.
struct LinkUp
{
  LinkId link;
  Duration roundTrip = Duration::zero();
};

// A new measurement of the link's round trip, for example by PING.
struct LinkRoundTrip
{
  LinkId link;
  Duration roundTrip = Duration::zero();
};

// The link is closed. Known results of its calls must be passed to the engine before; all other
// calls on the link end with an unknown outcome.
struct LinkDown
{
  LinkId link;
};

using RequestLinkMessage = std::variant<Announce, LoadReport, Leave, CreditGrant>;

struct LinkMessageReceived
{
  LinkId link;
  RequestLinkMessage message;
};

// The complete response of an upstream. `request` is the request id that the response carries.
struct CallResponse
{
  CallId call;
  RequestId request;
  ResponseContentPtr response;
};

// The call has ended with proof that the upstream did not receive it.
struct CallNotRun
{
  CallId call;
  Reason reason = Reason::StreamRefused;
};

struct CallUnknown
{
  CallId call;
  Reason reason = Reason::StreamReset;
};

struct TransactionDone
{
  TableOperationId operation;
  CommitOutcome outcome;
};

struct FateDone
{
  TableOperationId operation;
  FateOutcome outcome;
};

struct RowScanDone
{
  TableOperationId operation;
  absl::StatusOr<ScanPage> page;
};

// Replaces the whole policy.
struct PolicyChanged
{
  RequestPolicy policy;
};

// Refuses new requests; at `until`, the remaining requests fail.
struct DrainRequested
{
  Instant until;
};

// The caller has closed its connection: cancels the request without a FinalResponse.
struct CallerDisconnected
{
  RequestId request;
};

// The time NextWakeup() has been reached.
struct Tick
{};

using RequestEvent = std::variant<NewRequest,
                                  LinkUp,
                                  LinkRoundTrip,
                                  LinkDown,
                                  LinkMessageReceived,
                                  CallResponse,
                                  CallNotRun,
                                  CallUnknown,
                                  TransactionDone,
                                  FateDone,
                                  RowScanDone,
                                  PolicyChanged,
                                  DrainRequested,
                                  CallerDisconnected,
                                  Tick>;

// ---- Effects ----

// Opens a stream on the link. Every call gets one CallResponse, CallNotRun or CallUnknown, unless
// it is cancelled or its link goes down.
struct StartCall
{
  CallId call;
  LinkId link;
  UpstreamId upstream;
  RequestId request;
  OrganisationId organisation;
  ServiceName service;
  Instant deadline;
  RequestContentPtr content;
};

// Resets the stream of the call. The engine ignores a result that still arrives.
struct CancelCall
{
  CallId call;
  LinkId link;
};

// The only response to a request. `outcome` and `reason` are set when the entry has generated the
// response, whose headers and body then contain them.
struct FinalResponse
{
  RequestId request;
  ResponseContentPtr response;
  std::optional<Outcome> outcome;
  std::optional<Reason> reason;
};

struct CommitTransaction
{
  TableOperationId operation;
  Transaction transaction;
};

struct ReadTransactionFate
{
  TableOperationId operation;
  TransactionId transaction;
};

// Scans with prefix `key` and an empty `after`. The result is a RowScanDone.
struct ScanRow
{
  TableOperationId operation;
  std::string key;
};

struct SendCreditDemand
{
  LinkId link;
  CreditDemand demand;
};

using RequestEffect = std::variant<StartCall,
                                   CancelCall,
                                   FinalResponse,
                                   CommitTransaction,
                                   ReadTransactionFate,
                                   ScanRow,
                                   SendCreditDemand>;
using RequestEffects = std::vector<RequestEffect>;

} // namespace oriolespread
