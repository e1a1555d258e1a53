#include "PlainCaller.h"

#include <utility>

namespace oriolespread::review {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(200);
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

bool IsRetried(int aStatus)
{
  return aStatus == 0 || aStatus == kBadGateway || aStatus == kGatewayTimeout;
}

} // namespace

Callers::Callers(asio::io_context& aContext, Site& aSite, std::size_t aEntries)
  : context(aContext)
  , site(aSite)
  , entries(aEntries)
{
}

std::shared_ptr<CallResult> Callers::Call(const std::string& aMethod,
                                          const std::string& aPath,
                                          const std::string& aBody)
{
  auto result = std::make_shared<CallResult>();
  this->Try(aMethod, this->next++ % this->entries, aPath, aBody, result);
  return result;
}

void Callers::After(Duration aTime, std::function<void()> aCall)
{
  auto timer = std::make_shared<asio::steady_timer>(
    this->context, std::chrono::duration_cast<std::chrono::nanoseconds>(aTime));
  timer->async_wait([timer, call = std::move(aCall)](asio::error_code aError) {
    if (!aError) {
      call();
    }
  });
}

void Callers::Try(const std::string& aMethod,
                  std::size_t aEntry,
                  const std::string& aPath,
                  const std::string& aBody,
                  const std::shared_ptr<CallResult>& aResult)
{
  ++aResult->tries;
  this->site.Send(
    aMethod,
    aEntry,
    aPath,
    aBody,
    [this, aMethod, aEntry, aPath, aBody, aResult](int aStatus, const std::string& aAnswer) {
      if (IsRetried(aStatus) && aResult->tries < kMaxTries) {
        this->After(kRetryDelay, [this, aMethod, aEntry, aPath, aBody, aResult] {
          this->Try(aMethod, (aEntry + 1) % this->entries, aPath, aBody, aResult);
        });
        return;
      }
      aResult->ended = true;
      aResult->status = aStatus;
      aResult->body = aAnswer;
    });
}

std::string JobId(int aKind, int aNumber)
{
  constexpr std::size_t kKindDigits = 4;
  constexpr std::size_t kNumberDigits = 12;
  const auto padded = [](int aValue, std::size_t aDigits) {
    const std::string digits = std::to_string(aValue);
    return std::string(aDigits - digits.size(), '0') + digits;
  };
  return padded(aKind, kKindDigits) + padded(aNumber, kNumberDigits);
}

} // namespace oriolespread::review
