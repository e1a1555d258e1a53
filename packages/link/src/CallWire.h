// Form of calls and answers as HTTP/2 headers. Method, path and status of the call travel in
// headers of their own, and those of the caller under a prefix, so that nothing that a caller or an
// upstream chooses can change the meaning of the HTTP/2 exchange itself.
#pragma once

#include "oriolespread/link/LinkTypes.h"

#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace oriolespread::internal {

// Header with the reason of a refused call.
constexpr std::string_view kRefusedHeader = "os-refused";

// Headers to submit, kept in one piece of memory.
class HeaderList
{
public:
  // `aConstant` marks values that repeat between calls and are worth a place in the compression
  // table.
  void Add(std::string_view aName, std::string_view aValue, bool aConstant);
  // Returns entries that point into this list; they are valid until it changes or goes.
  std::vector<nghttp2_nv> Entries() const;

private:
  struct Size
  {
    std::size_t name = 0;
    std::size_t value = 0;
    bool constant = false;
  };
  std::string bytes;
  std::vector<Size> sizes;
};

// What the headers of one request said so far.
struct RequestHead
{
  CallRequest request;
  std::uint64_t bodyBytes = 0;
  // Number of the required headers seen.
  int required = 0;
  bool valid = true;

  void Take(std::string_view aName, std::string_view aValue);
  bool IsComplete() const;
};

// What the headers of one answer said so far.
struct AnswerHead
{
  RequestId id;
  CallAnswer answer;
  std::optional<std::string> refused;
  std::uint64_t bodyBytes = 0;
  int required = 0;
  bool valid = true;

  void Take(std::string_view aName, std::string_view aValue);
  bool IsComplete() const;
};

// Return an empty text, or the reason why the value cannot be sent.
std::string_view CheckRequest(const CallRequest& aRequest, std::size_t aMaxHeaderBytes);
std::string_view CheckAnswer(const CallAnswer& aAnswer, std::size_t aMaxHeaderBytes);

HeaderList RequestHeaders(const CallRequest& aRequest);
HeaderList AnswerHeaders(const RequestId& aId, const CallAnswer& aAnswer);
HeaderList RefusalHeaders(std::string_view aReason);

} // namespace oriolespread::internal
