#include "CrowdCase.h"

namespace oriolespread::crowd {

namespace {

constexpr std::size_t kPieceBytes = 4096;
// The agent has the limits of its server, as it reads no configuration.
constexpr int kAgentMaxBodyBytes = 262144;

std::string Head(const std::string& aFraming)
{
  return "POST /q/j1 HTTP/1.1\r\nHost: h.example\r\n" + aFraming + "\r\n\r\n";
}

} // namespace

std::optional<CrowdCase> FindCrowdCase(const std::string& aName)
{
  CrowdCase found;
  const std::string length = Head("Content-Length: " + std::to_string(kMaxBodyBytes));
  const std::string chunked = Head("Transfer-Encoding: chunked");
  if (aName == "whole") {
    found.load = { { { length + std::string(kMaxBodyBytes - 1, 'x') } }, 150 };
  } else if (aName == "pieces") {
    found.load = { { { length },
                     { std::string(kPieceBytes, 'x'), kMaxBodyBytes / kPieceBytes - 1 },
                     { std::string(kPieceBytes - 1, 'x') } },
                   150 };
  } else if (aName == "one_chunk") {
    found.load = { { { chunked + "100000\r\n" + std::string(kMaxBodyBytes - 1, 'x') } }, 150 };
  } else if (aName == "small_chunks") {
    std::string chunks;
    for (int index = 0; index < 1000; ++index) {
      chunks += "1\r\nx\r\n";
    }
    found.load = { { { chunked }, { chunks, 300 } }, 150 };
  } else if (aName == "endless_headers") {
    found.load = { { { "GET /q/ HTTP/1.1\r\nHost: h.example\r\n" },
                     { "X: " + std::string(100, 'x') + "\r\n", 150 } },
                   300 };
  } else if (aName == "unread_answers") {
    found.load = { { { "GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n", 1000 } }, 150 };
  } else if (aName == "only_open") {
    found.load = { {}, 300 };
    found.maxDescriptors = 400;
    // 200 descriptors are reserved for files.
    found.maxOpenDescriptors = 200;
  } else if (aName == "no_descriptors") {
    found.load = { {}, 300 };
    found.systemDescriptors = 150;
    found.crowdLeaves = true;
  } else if (aName == "agent_whole") {
    found.load = { { { Head("Content-Length: " + std::to_string(kAgentMaxBodyBytes)) +
                       std::string(kAgentMaxBodyBytes - 1, 'x') } },
                   300 };
    found.toAgent = true;
  } else {
    return std::nullopt;
  }
  return found;
}

} // namespace oriolespread::crowd
