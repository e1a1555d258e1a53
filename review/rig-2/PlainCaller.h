// Clients that submit jobs and ask for their states, with the retries that the pages describe.
#pragma once

#include "SoakCluster.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace oriolespread::review {

// The last answer to a call and its retries; status 0 stands for none.
struct CallResult
{
  bool ended = false;
  int status = 0;
  std::string body;
  int tries = 0;
};

class Callers
{
public:
  // A call is sent at most this often.
  static constexpr int kMaxTries = 5;

  Callers(asio::io_context& aContext, Site& aSite, std::size_t aEntries);

  // Sends the call, and sends it again to the next entry after no answer, a 502 or a 504. The
  // result is complete once it has ended.
  std::shared_ptr<CallResult> Call(const std::string& aMethod,
                                   const std::string& aPath,
                                   const std::string& aBody = {});
  // Calls after this time; the callers must live until then.
  void After(Duration aTime, std::function<void()> aCall);

private:
  void Try(const std::string& aMethod,
           std::size_t aEntry,
           const std::string& aPath,
           const std::string& aBody,
           const std::shared_ptr<CallResult>& aResult);

  asio::io_context& context;
  Site& site;
  std::size_t entries;
  std::size_t next = 0;
};

// Returns the identifier of a job: 16 hexadecimal digits.
std::string JobId(int aKind, int aNumber);

} // namespace oriolespread::review
