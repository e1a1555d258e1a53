// Drives a listener and a dialer on one loop until a condition holds.
#pragma once

#include "oriolespread/base/RandomSource.h"
#include "oriolespread/link/LinkDialer.h"
#include "oriolespread/link/LinkListener.h"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace oriolespread {

constexpr const char* kTestKey = "an example key of enough bytes";

// Runs the loop until the condition holds. The limit only guards against a hang.
inline bool RunUntil(asio::io_context& aContext, const std::function<bool()>& aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() > limit) {
      return false;
    }
    aContext.restart();
    aContext.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

inline LinkLimits TestLimits()
{
  LinkLimits limits;
  // Long enough that only tests which shorten them see these time-outs, also under sanitizers.
  limits.handshakeTimeout = std::chrono::seconds(30);
  limits.pingInterval = std::chrono::seconds(10);
  limits.pingTimeout = std::chrono::seconds(30);
  return limits;
}

inline LinkListenerOptions TestListenerOptions()
{
  LinkListenerOptions options;
  options.entry = EntryId{ "entry-1" };
  options.dataCentre = DataCentreId{ "dc-1" };
  options.sharedKey = kTestKey;
  options.limits = TestLimits();
  return options;
}

inline LinkDialerOptions TestDialerOptions(std::uint16_t aPort)
{
  LinkDialerOptions options;
  options.agent = AgentId{ "agent-1" };
  options.dataCentre = DataCentreId{ "dc-2" };
  options.address = "127.0.0.1";
  options.port = aPort;
  options.sharedKey = kTestKey;
  options.backoffMin = std::chrono::milliseconds(1);
  options.backoffMax = std::chrono::milliseconds(10);
  options.limits = TestLimits();
  return options;
}

inline CallRequest TestRequest(std::uint64_t aCounter, std::string aBody = "ping")
{
  CallRequest request;
  request.id = { Incarnation{ 5 }, aCounter };
  request.organisation = OrganisationId{ "org" };
  request.service = ServiceName{ "search" };
  request.upstream = UpstreamId{ "up-1" };
  request.incarnation = Incarnation{ 3 };
  request.deadlineLeft = std::chrono::milliseconds(750);
  request.method = "POST";
  request.path = "/find?q=1";
  request.headers = { { "accept", "text/plain" }, { "connection", "close" } };
  request.body = std::move(aBody);
  return request;
}

// What one side has been told.
struct SideLog
{
  std::vector<std::string> ups;
  std::vector<std::string> downs;
  std::vector<LinkMessage> messages;
};

// An entry and an agent on one loop.
struct LinkPair
{
  explicit LinkPair(LinkListenerOptions aListener = TestListenerOptions(),
                    std::function<void(LinkDialerOptions&)> aAdjust = {})
  {
    this->StartListener(std::move(aListener));
    LinkDialerOptions options = TestDialerOptions(this->listener->Port());
    if (aAdjust) {
      aAdjust(options);
    }
    this->StartDialer(std::move(options));
  }

  void StartListener(LinkListenerOptions aOptions)
  {
    LinkListenerHandlers handlers;
    handlers.up = [this](LinkId aLink, const AgentId& aAgent, const DataCentreId& aCentre) {
      this->link = aLink;
      this->entry.ups.push_back(aAgent.Value() + "@" + aCentre.Value());
    };
    handlers.down = [this](LinkId /*aLink*/, std::string_view aReason) {
      this->entry.downs.emplace_back(aReason);
    };
    handlers.message = [this](LinkId /*aLink*/, const LinkMessage& aMessage) {
      this->entry.messages.push_back(aMessage);
    };
    auto made =
      LinkListener::Create(this->context, std::move(aOptions), handlers, this->entryCounters);
    REQUIRE(made.ok());
    this->listener = *std::move(made);
  }

  void StartDialer(LinkDialerOptions aOptions)
  {
    LinkDialerHandlers handlers;
    handlers.up = [this](const EntryId& aEntry, const DataCentreId& aCentre) {
      this->agent.ups.push_back(aEntry.Value() + "@" + aCentre.Value());
    };
    handlers.down = [this](std::string_view aReason) { this->agent.downs.emplace_back(aReason); };
    handlers.message = [this](const LinkMessage& aMessage) {
      this->agent.messages.push_back(aMessage);
    };
    handlers.call = [this](CallRequest aRequest, std::shared_ptr<Responder> aResponder) {
      this->onCall(std::move(aRequest), std::move(aResponder));
    };
    auto made =
      LinkDialer::Create(this->context, std::move(aOptions), handlers, this->agentCounters);
    REQUIRE(made.ok());
    this->dialer = *std::move(made);
  }

  bool Run(const std::function<bool()>& aCondition) { return RunUntil(this->context, aCondition); }
  bool RunUntilUp()
  {
    return this->Run([this] { return !this->entry.ups.empty() && !this->agent.ups.empty(); });
  }
  // Starts a call and runs until its callback.
  CallResult Call(const CallRequest& aRequest)
  {
    std::optional<CallResult> result;
    this->listener->StartCall(
      this->link, aRequest, [&result](const CallResult& aResult) { result = aResult; });
    REQUIRE(this->Run([&result] { return result.has_value(); }));
    return *result;
  }

  asio::io_context context;
  Counters entryCounters;
  Counters agentCounters;
  SideLog entry;
  SideLog agent;
  LinkId link;
  // By default answers with the body of the request.
  std::function<void(CallRequest, std::shared_ptr<Responder>)> onCall =
    [this](CallRequest aRequest, std::shared_ptr<Responder> aResponder) {
      this->received.push_back(aRequest);
      aResponder->Answer({ 200, { { "x-echo", aRequest.path } }, aRequest.body });
    };
  std::vector<CallRequest> received;
  std::unique_ptr<LinkListener> listener;
  std::unique_ptr<LinkDialer> dialer;
};

} // namespace oriolespread
