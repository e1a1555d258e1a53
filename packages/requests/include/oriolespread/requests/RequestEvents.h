// Events and effects of the RequestEngine. Bodies and whole answers are shared, so that events and
// effects are cheap to copy and to hand to another thread.
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

// Allotted by the driver, one for each connection of an agent; never reused.
using LinkId = StrongType<struct LinkIdTag, std::uint64_t>;
// Allotted by the engine, one for each StartCall; never reused.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;
// Allotted by the engine, one for each table operation; never reused.
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

// A request of an authenticated caller. Leads to exactly one FinalResponse.
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
  // Digest of the body; needed with an idempotency key only.
  std::string bodyDigest;
};

// An agent has connected and proved that it holds the link key.
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

// The link is closed. Results of its calls that prove anything have to be handed in before; all
// other calls on it are taken as unknown.
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

// The whole answer of an upstream. `request` is the id that the answer echoes.
struct CallResponse
{
  CallId call;
  RequestId request;
  ResponseContentPtr response;
};

// Proof that the upstream has not seen the call.
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

// Refuse new requests; at `until` give up what remains.
struct DrainRequested
{
  Instant until;
};

// The caller's connection is gone: cancels the request without a FinalResponse.
struct CallerDisconnected
{
  RequestId request;
};

// NextWakeup has been reached.
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

// Open a stream on the link. Every call gets one CallResponse, CallNotRun or CallUnknown, unless it
// is cancelled or its link goes down.
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

// Reset the stream of the call. A result that arrives all the same is dropped by the engine.
struct CancelCall
{
  CallId call;
  LinkId link;
};

// The one answer to a request. `outcome` and `reason` are set when the answer is the entry's own;
// headers and body then carry both already.
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

// Scan with prefix `key` and an empty `after`; answered by RowScanDone.
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
