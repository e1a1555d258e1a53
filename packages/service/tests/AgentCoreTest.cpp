#include "oriolespread/service/AgentCore.h"

#include "TestSite.h"

#include "oriolespread/link/LinkListener.h"

#include <atomic>

using namespace oriolespread;
using namespace oriolespread::test;

namespace {

// The link side of an entry, which sends a directory to each agent that comes up.
class FakeEntry
{
public:
  FakeEntry(EventLoop& aLoop, const std::string& aId, std::uint16_t aPort, const std::string& aKey)
    : loop(aLoop)
    , id(aId)
  {
    LinkListenerOptions options;
    options.entry = EntryId{ aId };
    options.dataCentre = DataCentreId{ "dc1" };
    options.port = aPort;
    options.sharedKey = aKey;
    LinkListenerHandlers handlers;
    handlers.up = [this](LinkId aLink, const AgentId&, const DataCentreId&) {
      this->agent = aLink;
      ++this->ups;
    };
    handlers.down = [](LinkId, std::string_view) {};
    handlers.message = [](LinkId, const LinkMessage&) {};
    auto created = LinkListener::Create(this->loop.Context(), options, handlers, this->counters);
    REQUIRE(created.ok());
    this->listener = *std::move(created);
  }

  EntryInfo Info() const
  {
    const std::string address = "127.0.0.1:" + std::to_string(this->listener->Port());
    return { EntryId{ this->id }, DataCentreId{ "dc1" }, address };
  }

  void SendDirectory(std::vector<EntryInfo> aEntries)
  {
    EntryDirectory directory;
    directory.shardCount = 1;
    directory.entries = std::move(aEntries);
    this->loop.Deliver([this, directory] { this->listener->Send(this->agent, directory); });
  }

  EventLoop& loop;
  std::string id;
  Counters counters;
  std::unique_ptr<LinkListener> listener;
  LinkId agent;
  std::atomic<int> ups = 0;
};

} // namespace

// Guards against an agent that never dials an entry again after a directory left it out while its
// link was not up; it happened when two entries started at the same time.
TEST_CASE("AgentCore DialsAnEntryAgainThatADirectoryHadLeftOut")
{
  Counters counters;
  EventLoop loop("test", 256, counters);
  FakeEntry first(loop, "e0", 0, kKey);
  // With another key the second entry refuses the agent, so that the link does not come up.
  auto refusing = std::make_unique<FakeEntry>(loop, "e1", 0, "another-key-of-at-least-sixteen");
  const EntryInfo second = refusing->Info();
  AgentSettings settings;
  settings.agent.id = AgentId{ "a0" };
  settings.agent.worker = WorkerId{ "w0" };
  settings.agent.dataCentre = DataCentreId{ "dc1" };
  settings.link.key = kKey;
  settings.entries.bootstrap = { *SocketAddress::Parse(first.Info().linkAddress),
                                 *SocketAddress::Parse(second.linkAddress) };
  AgentCore core(loop, settings, counters);
  loop.Start();
  core.Start();
  REQUIRE(WaitUntil([&] { return first.ups.load() > 0; }));
  first.SendDirectory({ first.Info() });
  // The next directory is sent on the same link and therefore arrives after the first one.
  std::promise<void> closed;
  loop.Deliver([&] {
    refusing->listener->Close();
    refusing->listener.reset();
    closed.set_value();
  });
  closed.get_future().wait();
  FakeEntry accepting(loop, "e1", SocketAddress::Parse(second.linkAddress)->port, kKey);
  first.SendDirectory({ first.Info(), second });
  CHECK(WaitUntil([&] { return accepting.ups.load() > 0; }));
  loop.Stop();
}
