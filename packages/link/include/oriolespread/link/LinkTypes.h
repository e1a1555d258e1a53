// Values that cross a link between an entry and an agent: identifiers, calls and their results.
#pragma once

#include "oriolespread/base/Ids.h"
#include "oriolespread/base/RequestId.h"
#include "oriolespread/base/StrongType.h"
#include "oriolespread/base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace oriolespread {

// Identifies one connection of a LinkListener; never reused by it. 0 is no link.
using LinkId = StrongType<struct LinkIdTag, std::uint64_t>;
// Identifies one call of a LinkListener; never reused by it. 0 is no call.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

// One HTTP header of a request or answer. Names arrive in lower case. Values must be free of
// control characters other than tab; white space around a value is removed.
struct HeaderField
{
  std::string name;
  std::string value;

  friend bool operator==(const HeaderField&, const HeaderField&) = default;
};

// A request for one upstream beside the agent. `deadlineLeft` travels in whole microseconds; the
// link does not enforce it.
struct CallRequest
{
  RequestId id;
  OrganisationId organisation;
  ServiceName service;
  UpstreamId upstream;
  Incarnation incarnation;
  Duration deadlineLeft = Duration::zero();
  std::string method;
  std::string path;
  std::vector<HeaderField> headers;
  std::string body;
};

struct CallAnswer
{
  int status = 0;
  std::vector<HeaderField> headers;
  std::string body;
};

enum class CallEnd
{
  // The whole answer to this call arrived.
  Answered,
  // The agent's call handler was certainly not given the call, or it refused the call.
  NotRun,
  // Anything else: the call may have run.
  Unknown,
};

// `answer` counts for Answered only, `reason` for the other two.
struct CallResult
{
  CallEnd end = CallEnd::Unknown;
  std::string reason;
  CallAnswer answer;
};

} // namespace oriolespread
