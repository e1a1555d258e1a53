// Requests and responses of HTTP/1.1 as the asynchronous server and client pass them on.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace oriolespread {

constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;
constexpr int kHttpRequestTimeout = 408;
constexpr int kHttpConflict = 409;
constexpr int kHttpGone = 410;
constexpr int kHttpPreconditionFailed = 412;
constexpr int kHttpTooLarge = 413;
constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpHeadersTooLarge = 431;
constexpr int kHttpUnavailable = 503;
constexpr int kHttpGatewayTimeout = 504;

struct HttpHeader
{
  std::string name;
  std::string value;
};

struct HttpRequest
{
  std::string method = "GET";
  // Path and query as sent.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

struct HttpResponse
{
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
};

// Returns the value of the first header with this name, compared without case, or an empty text.
std::string_view FindHeader(const std::vector<HttpHeader>& aHeaders, std::string_view aName);

} // namespace oriolespread
