// Runs a RequestEngine on a virtual clock for tests, with agents that send load reports, and
// collects its effects.
#pragma once

#include "oriolespread/requests/RequestEngine.h"

#include <string>
#include <vector>

namespace oriolespread {

inline const OrganisationId kOrganisation{ "acme" };
inline const ServiceName kService{ "shop" };

struct EngineHarness
{
  explicit EngineHarness(std::uint32_t aAgents, std::uint32_t aSlots = 8)
  {
    RequestPolicy policy;
    policy.organisations.push_back({ kOrganisation });
    policy.services.push_back({ kOrganisation, kService, {} });
    this->Handle(PolicyChanged{ policy });
    for (std::uint32_t i = 1; i <= aAgents; ++i) {
      this->Join(i, aSlots);
    }
  }

  static UpstreamId UpstreamOf(std::uint64_t aAgent)
  {
    return UpstreamId{ "u" + std::to_string(aAgent) };
  }

  void SendAnnounce(std::uint64_t aAgent, std::uint64_t aIncarnation = 1)
  {
    const std::string name = std::to_string(aAgent);
    this->Handle(LinkMessageReceived{ LinkId{ aAgent },
                                      Announce{ AgentId{ "a" + name },
                                                Incarnation{ 1 },
                                                WorkerId{ "w" + name },
                                                DataCentreId{ "dc" },
                                                {},
                                                {},
                                                { { UpstreamOf(aAgent),
                                                    Incarnation{ aIncarnation },
                                                    kOrganisation,
                                                    kService,
                                                    8,
                                                    64 } } } });
  }

  void Join(std::uint64_t aAgent, std::uint32_t aSlots)
  {
    this->Handle(LinkUp{ LinkId{ aAgent } });
    this->SendAnnounce(aAgent);
    this->Handle(LinkMessageReceived{
      LinkId{ aAgent }, CreditGrant{ UpstreamOf(aAgent), Incarnation{ 1 }, 1, aSlots, 64 } });
    this->agents.push_back(aAgent);
  }

  RequestId Send(const std::string& aMethod,
                 Duration aDeadline = std::chrono::seconds(1),
                 std::optional<std::string> aKey = std::nullopt,
                 const std::string& aBody = "b")
  {
    NewRequest request;
    request.id = { Incarnation{ 1 }, ++this->lastRequest };
    request.organisation = kOrganisation;
    request.service = kService;
    request.content = std::make_shared<RequestContent>(RequestContent{ aMethod, "/", {}, aBody });
    request.deadline = this->now + aDeadline;
    request.idempotencyKey = std::move(aKey);
    request.bodyDigest = aBody;
    this->Handle(request);
    return request.id;
  }

  void Respond(const StartCall& aCall, int aStatus = 200)
  {
    this->Handle(
      CallResponse{ aCall.call,
                    aCall.request,
                    std::make_shared<ResponseContent>(ResponseContent{ aStatus, {}, "ok" }) });
  }

  void Handle(const RequestEvent& aEvent)
  {
    this->effects.clear();
    this->engine.Handle(this->now, aEvent, this->effects);
    this->Collect();
  }

  // Advances the clock in steps of 100 ms. The agents in `agents` send load reports if `aReport`.
  void AdvanceTime(Duration aTime, bool aReport = true)
  {
    const Instant end = this->now + aTime;
    while (this->now < end) {
      this->now = std::min(end, this->now + std::chrono::milliseconds(100));
      this->Handle(Tick{});
      for (const std::uint64_t agent : this->agents) {
        if (aReport) {
          this->Handle(LinkMessageReceived{
            LinkId{ agent },
            LoadReport{
              AgentId{ "a" + std::to_string(agent) }, Incarnation{ 1 }, ++this->report, {}, {} } });
        }
      }
    }
  }

  // Returns all effects of one type since the beginning.
  template<typename T>
  std::vector<T> All() const
  {
    std::vector<T> found;
    for (const RequestEffect& effect : this->all) {
      if (const T* detail = std::get_if<T>(&effect)) {
        found.push_back(*detail);
      }
    }
    return found;
  }

  // Returns "answered", "<outcome>/<reason>", "none" without a final response, or "answered twice".
  std::string ResultOf(const RequestId& aRequest) const
  {
    std::string result = "none";
    for (const FinalResponse& response : this->All<FinalResponse>()) {
      if (response.request == aRequest) {
        const std::string text = response.outcome.has_value()
                                   ? std::string(ToString(*response.outcome)) + "/" +
                                       std::string(ToString(*response.reason))
                                   : std::string("answered");
        result = result == "none" ? text : "answered twice";
      }
    }
    return result;
  }

  Counters counters;
  RequestEngine engine{ { EntryId{ "e1" }, Incarnation{ 1 }, DataCentreId{ "dc" }, 1 }, counters };
  Instant now = Instant(std::chrono::seconds(1000));
  RequestEffects effects;
  RequestEffects all;
  std::vector<std::uint64_t> agents;

private:
  void Collect() { this->all.insert(this->all.end(), this->effects.begin(), this->effects.end()); }

  std::uint64_t lastRequest = 0;
  std::uint64_t report = 0;
};

} // namespace oriolespread
