// A whole site in one process for tests: stand-in platform, entries, agents with stand-in workers
// and upstreams, joined by real sockets on loopback with ports that the system chooses.
#pragma once

#include "oriolespread/service/AgentServer.h"
#include "oriolespread/service/EntryServer.h"
#include "oriolespread/standins/StandInPlatform.h"
#include "oriolespread/standins/StandInUpstream.h"
#include "oriolespread/standins/StandInWorker.h"

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace oriolespread::test {

constexpr const char* kKey = "a-shared-key-of-the-test-site-0001";
constexpr const char* kOperatorToken = "operator-token";
// Only bounds a test that would never end; no result depends on it.
constexpr Duration kGuard = std::chrono::seconds(20);

inline bool WaitUntil(const std::function<bool()>& aCondition)
{
  const Instant end = BootClock::now() + kGuard;
  while (BootClock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return false;
}

struct TestAgent
{
  std::unique_ptr<StandInWorker> worker;
  std::unique_ptr<AgentServer> server;
  std::unique_ptr<StandInUpstream> upstream;
};

class TestSite
{
public:
  TestSite() { REQUIRE(this->platform.Start({ "127.0.0.1", 0 }).ok()); }

  EntryServer& AddEntry()
  {
    EntrySettings settings;
    settings.entry.id = EntryId{ "e" + std::to_string(this->entries.size()) };
    settings.entry.dataCentre = DataCentreId{ "dc1" };
    settings.entry.httpAddress = { "127.0.0.1", 0 };
    settings.entry.linkAddress = { "127.0.0.1", 0 };
    settings.entry.advertisedHttpAddress = { "127.0.0.1", 0 };
    settings.entry.advertisedLinkAddress = { "127.0.0.1", 0 };
    settings.entry.drainTime = std::chrono::seconds(20);
    settings.platform.tableAddress = { "127.0.0.1", this->platform.Address().port };
    settings.platform.objectAddress = settings.platform.tableAddress;
    settings.link.key = kKey;
    settings.shards.count = 1;
    for (const char* name : { "acme", "other" }) {
      settings.tokens.push_back(
        { Sha256(std::string(name) + "-token"), { Role::Organisation, OrganisationId{ name } } });
    }
    settings.tokens.push_back({ Sha256(kOperatorToken), { Role::Operator, {} } });
    auto entry = EntryServer::Create(settings);
    REQUIRE(entry.ok());
    (*entry)->Start();
    this->entries.push_back(*std::move(entry));
    return *this->entries.back();
  }

  TestAgent& AddAgent()
  {
    const std::string name = std::to_string(this->agents.size());
    TestAgent agent;
    agent.worker = std::make_unique<StandInWorker>(Resources{ 8000, 16000, 0 });
    REQUIRE(agent.worker->Start({ "127.0.0.1", 0 }).ok());
    AgentSettings settings;
    settings.agent.id = AgentId{ "a" + name };
    settings.agent.worker = WorkerId{ "w" + name };
    settings.agent.dataCentre = DataCentreId{ "dc1" };
    settings.agent.rack = RackId{ "r" + name };
    settings.agent.localHttpAddress = { "127.0.0.1", 0 };
    settings.agent.drainTime = std::chrono::seconds(20);
    settings.capacity = { 8000, 16000, 0 };
    for (const auto& entry : this->entries) {
      settings.entries.bootstrap.push_back({ "127.0.0.1", entry->LinkPort() });
    }
    settings.link.key = kKey;
    settings.worker.kind = WorkerInterfaceKind::Http;
    settings.worker.address = { "127.0.0.1", agent.worker->Address().port };
    auto server = AgentServer::Create(settings);
    REQUIRE(server.ok());
    agent.server = *std::move(server);
    agent.server->Start();
    agent.upstream = std::make_unique<StandInUpstream>(
      StandInUpstreamOptions{ UpstreamId{ "u" + name },
                              OrganisationId{ "acme" },
                              ServiceName{ "lookup" },
                              8,
                              64,
                              { "127.0.0.1", agent.server->HttpPort() } });
    REQUIRE(agent.upstream->Start({ "127.0.0.1", 0 }).ok());
    this->agents.push_back(std::move(agent));
    return this->agents.back();
  }

  // Sends one request to an entry; a null result means that the connection failed.
  httplib::Result Send(std::size_t aEntry,
                       const std::string& aMethod,
                       const std::string& aPath,
                       const std::string& aToken,
                       const std::string& aBody = {},
                       const httplib::Headers& aHeaders = {})
  {
    httplib::Client client("127.0.0.1", this->entries[aEntry]->HttpPort());
    client.set_read_timeout(30);
    httplib::Request request;
    request.method = aMethod;
    request.path = aPath;
    request.body = aBody;
    request.headers = aHeaders;
    request.set_header("Authorization", "Bearer " + aToken);
    return client.send(request);
  }

  // Configures organisation acme with the service lookup and waits until requests are answered.
  void Configure()
  {
    const char* ticket = R"({"id": "setup", "based_on": 0, "author": "test", "changes":
      {"organisation/acme": {}, "organisation/other": {}, "service/acme/lookup": {"class": "latency_critical"}}})";
    std::string last;
    const bool accepted = WaitUntil([&] {
      const auto result = this->Send(0, "POST", "/v1/tickets", kOperatorToken, ticket);
      last = result ? result->body : httplib::to_string(result.error());
      return result && result->status == 200;
    });
    INFO(last);
    REQUIRE(accepted);
    REQUIRE(WaitUntil([&] {
      const auto result = this->Send(0, "GET", "/v1/services/lookup/", "acme-token");
      return result && result->status == 200;
    }));
  }

  StandInPlatform platform;
  std::vector<std::unique_ptr<EntryServer>> entries;
  // A deque, so that references stay valid as agents are added.
  std::deque<TestAgent> agents;
};

} // namespace oriolespread::test
