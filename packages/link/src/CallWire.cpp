#include "CallWire.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace oriolespread::internal {

namespace {

constexpr std::string_view kPrefix = "h-";
constexpr std::size_t kMaxReasonBytes = 256;
// nghttp2 sends no header block above 64 KiB and reckons with 12 bytes on top of each header. With
// the prefixes this many take 14 KiB beside the 32 KiB of their texts.
constexpr std::size_t kMaxCallerHeaders = 1'024;

// Headers of a request, each of which must be there exactly once.
constexpr int kRequestHeaders = 9;
// Headers of an answer, likewise.
constexpr int kAnswerHeaders = 3;

bool ParseNumber(std::string_view aText, std::uint64_t& aNumber)
{
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, aNumber);
  return !aText.empty() && result.ec == std::errc() && result.ptr == end;
}

bool ParseRequestId(std::string_view aText, RequestId& aId)
{
  const std::size_t dash = aText.find('-');
  std::uint64_t incarnation = 0;
  if (dash == std::string_view::npos || !ParseNumber(aText.substr(0, dash), incarnation)) {
    return false;
  }
  aId.entry = Incarnation{ incarnation };
  return ParseNumber(aText.substr(dash + 1), aId.counter);
}

template<typename Id>
bool ParseName(std::string_view aText, Id& aId)
{
  aId = Id{ std::string(aText) };
  return IsValidName(aText);
}

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return lower;
}

std::string_view Trim(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(" \t") - begin + 1);
}

const std::uint8_t* Bytes(std::string_view aText)
{
  return reinterpret_cast<const std::uint8_t*>(aText.data());
}

bool IsHeaderValue(std::string_view aText)
{
  return nghttp2_check_header_value(Bytes(aText), aText.size()) != 0;
}

std::string_view CheckHeaders(const std::vector<HeaderField>& aHeaders, std::size_t aMaxBytes)
{
  if (aHeaders.size() > kMaxCallerHeaders) {
    return "headers_too_large";
  }
  std::size_t bytes = 0;
  for (const HeaderField& header : aHeaders) {
    const std::string name = LowerCase(header.name);
    if (name.empty() || nghttp2_check_header_name(Bytes(name), name.size()) == 0 ||
        !IsHeaderValue(header.value)) {
      return "bad_header";
    }
    bytes += header.name.size() + header.value.size();
  }
  return bytes > aMaxBytes ? "headers_too_large" : "";
}

void AddCallerHeaders(HeaderList& aList, const std::vector<HeaderField>& aHeaders)
{
  for (const HeaderField& header : aHeaders) {
    // The values of one caller stay out of the table that all organisations share on a link.
    aList.Add(std::string(kPrefix) + LowerCase(header.name), Trim(header.value), false);
  }
}

bool TakeCallerHeader(std::string_view aName,
                      std::string_view aValue,
                      std::vector<HeaderField>& aHeaders)
{
  if (aName.substr(0, kPrefix.size()) != kPrefix) {
    return false;
  }
  aHeaders.push_back({ std::string(aName.substr(kPrefix.size())), std::string(aValue) });
  return true;
}

// Takes one of the required headers; returns whether its value is valid. Sets `aKnown` to false for
// other names.
bool TakeRequired(std::string_view aName, std::string_view aValue, RequestHead& aHead, bool& aKnown)
{
  CallRequest& request = aHead.request;
  std::uint64_t number = 0;
  if (aName == "os-request") {
    return ParseRequestId(aValue, request.id);
  }
  if (aName == "os-organisation") {
    return ParseName(aValue, request.organisation);
  }
  if (aName == "os-service") {
    return ParseName(aValue, request.service);
  }
  if (aName == "os-upstream") {
    return ParseName(aValue, request.upstream);
  }
  if (aName == "os-incarnation") {
    const bool valid = ParseNumber(aValue, number);
    request.incarnation = Incarnation{ number };
    return valid;
  }
  if (aName == "os-deadline-us") {
    // The bound keeps the conversion to nanoseconds from overflowing.
    constexpr std::uint64_t kMaxDeadlineUs = std::uint64_t{ 1 } << 52U;
    const bool valid = ParseNumber(aValue, number) && number <= kMaxDeadlineUs;
    request.deadlineLeft = valid ? std::chrono::microseconds(number) : Duration::zero();
    return valid;
  }
  if (aName == "os-method") {
    request.method = aValue;
    return !aValue.empty();
  }
  if (aName == "os-path") {
    request.path = aValue;
    return !aValue.empty();
  }
  if (aName == "os-length") {
    return ParseNumber(aValue, aHead.bodyBytes);
  }
  aKnown = false;
  return true;
}

} // namespace

void HeaderList::Add(std::string_view aName, std::string_view aValue, bool aConstant)
{
  this->bytes.append(aName).append(aValue);
  this->sizes.push_back({ aName.size(), aValue.size(), aConstant });
}

std::vector<nghttp2_nv> HeaderList::Entries() const
{
  std::vector<nghttp2_nv> entries;
  entries.reserve(this->sizes.size());
  auto* next = const_cast<std::uint8_t*>(Bytes(this->bytes));
  for (const Size& size : this->sizes) {
    nghttp2_nv entry{};
    entry.name = next;
    entry.namelen = size.name;
    entry.value = next + size.name;
    entry.valuelen = size.value;
    // A value that comes only once would push repeated ones out of the compression table.
    entry.flags = size.constant ? NGHTTP2_NV_FLAG_NONE : NGHTTP2_NV_FLAG_NO_INDEX;
    entries.push_back(entry);
    next += size.name + size.value;
  }
  return entries;
}

void RequestHead::Take(std::string_view aName, std::string_view aValue)
{
  if (aName.substr(0, 1) == ":" || TakeCallerHeader(aName, aValue, this->request.headers)) {
    return;
  }
  bool known = true;
  this->valid = TakeRequired(aName, aValue, *this, known) && this->valid;
  this->required += known ? 1 : 0;
}

bool RequestHead::IsComplete() const
{
  return this->valid && this->required == kRequestHeaders;
}

void AnswerHead::Take(std::string_view aName, std::string_view aValue)
{
  if (TakeCallerHeader(aName, aValue, this->answer.headers)) {
    return;
  }
  bool good = true;
  if (aName == "os-request") {
    good = ParseRequestId(aValue, this->id);
    ++this->required;
  } else if (aName == "os-status") {
    std::uint64_t status = 0;
    good = ParseNumber(aValue, status) && status >= 100 && status <= 999;
    this->answer.status = good ? static_cast<int>(status) : 0;
    ++this->required;
  } else if (aName == "os-length") {
    good = ParseNumber(aValue, this->bodyBytes);
    ++this->required;
  } else if (aName == kRefusedHeader) {
    this->refused = aValue;
  }
  this->valid = this->valid && good;
}

bool AnswerHead::IsComplete() const
{
  return this->valid && this->required == kAnswerHeaders;
}

std::string_view CheckRequest(const CallRequest& aRequest, std::size_t aMaxHeaderBytes)
{
  if (!IsValidName(aRequest.organisation.Value()) || !IsValidName(aRequest.service.Value()) ||
      !IsValidName(aRequest.upstream.Value())) {
    return "bad_name";
  }
  if (aRequest.method.empty() || aRequest.path.empty() || !IsHeaderValue(aRequest.method) ||
      !IsHeaderValue(aRequest.path)) {
    return "bad_method_or_path";
  }
  if (aRequest.method.size() + aRequest.path.size() > aMaxHeaderBytes) {
    return "headers_too_large";
  }
  return CheckHeaders(aRequest.headers,
                      aMaxHeaderBytes - aRequest.method.size() - aRequest.path.size());
}

std::string_view CheckAnswer(const CallAnswer& aAnswer, std::size_t aMaxHeaderBytes)
{
  if (aAnswer.status < 100 || aAnswer.status > 999) {
    return "bad_status";
  }
  return CheckHeaders(aAnswer.headers, aMaxHeaderBytes);
}

HeaderList RequestHeaders(const CallRequest& aRequest)
{
  const auto deadline = std::chrono::duration_cast<std::chrono::microseconds>(
    std::max(aRequest.deadlineLeft, Duration::zero()));
  HeaderList list;
  list.Add(":method", "POST", true);
  list.Add(":scheme", "http", true);
  list.Add(":authority", "oriolespread", true);
  list.Add(":path", "/call", true);
  list.Add("os-request", ToString(aRequest.id), false);
  list.Add("os-organisation", aRequest.organisation.Value(), true);
  list.Add("os-service", aRequest.service.Value(), true);
  list.Add("os-upstream", aRequest.upstream.Value(), true);
  list.Add("os-incarnation", std::to_string(aRequest.incarnation.Value()), true);
  list.Add("os-deadline-us", std::to_string(deadline.count()), false);
  list.Add("os-method", aRequest.method, true);
  list.Add("os-path", aRequest.path, false);
  list.Add("os-length", std::to_string(aRequest.body.size()), false);
  AddCallerHeaders(list, aRequest.headers);
  return list;
}

HeaderList AnswerHeaders(const RequestId& aId, const CallAnswer& aAnswer)
{
  HeaderList list;
  list.Add(":status", "200", true);
  list.Add("os-request", ToString(aId), false);
  list.Add("os-status", std::to_string(aAnswer.status), true);
  list.Add("os-length", std::to_string(aAnswer.body.size()), false);
  AddCallerHeaders(list, aAnswer.headers);
  return list;
}

HeaderList RefusalHeaders(std::string_view aReason)
{
  std::string_view reason = Trim(aReason.substr(0, kMaxReasonBytes));
  if (!IsHeaderValue(reason)) {
    reason = "unprintable_reason";
  }
  HeaderList list;
  list.Add(":status", "200", true);
  list.Add(kRefusedHeader, reason, true);
  return list;
}

} // namespace oriolespread::internal
