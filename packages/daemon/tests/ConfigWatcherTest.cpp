#include "EventLoop.h"
#include "StoreFixture.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace oriolespread;
using namespace oriolespread::daemon;

namespace {

constexpr Duration kMillisecond = std::chrono::milliseconds(1);

} // namespace

TEST_CASE("ConfigWatcher AppliesAChangeWhenItIsWritten")
{
  StoreFixture fixture;
  fixture.PutConfig(3);
  fixture.config.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.config.Config().has_value(); }));
  CHECK(fixture.config.Config()->version == 3);
  const Instant writtenAt = BootClock::now();
  fixture.PutConfig(7);
  REQUIRE(fixture.RunUntil([&] { return fixture.config.Config()->version == 7; }));
  CHECK(BootClock::now() - writtenAt < 500 * kMillisecond);
}

// Guards against handling requests with an older configuration than earlier requests, which happens
// when the store answers a read with a version behind its newest one.
TEST_CASE("ConfigWatcher NeverGoesBackToAnOlderVersion")
{
  StoreFixture fixture;
  fixture.PutConfig(9);
  fixture.config.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.config.Config().has_value(); }));
  fixture.PutConfig(8);
  fixture.store.ForgetHistory();
  fixture.RunFor(300 * kMillisecond);
  CHECK(fixture.config.Config()->version == 9);
  CHECK(fixture.appliedVersions == std::vector<std::uint64_t>{ 9 });
}

// Guards against missing a change that the store has dropped from its history.
TEST_CASE("ConfigWatcher ReadsAgainWhenTheWatchHistoryIsGone")
{
  StoreFixture fixture;
  fixture.PutConfig(1);
  fixture.config.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.config.Config().has_value(); }));
  fixture.store.SetFault(fixture.server, { .silent = true });
  fixture.RunFor(100 * kMillisecond);
  fixture.PutConfig(2);
  fixture.store.ForgetHistory();
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.RunUntil([&] { return fixture.config.Config()->version == 2; }));
}

// Guards against replacing the configuration in force by an unreadable one.
TEST_CASE("ConfigWatcher KeepsTheConfigurationWhenANewerOneCannotBeRead")
{
  StoreFixture fixture;
  fixture.PutConfig(1);
  fixture.config.Start();
  REQUIRE(fixture.RunUntil([&] { return fixture.config.Config().has_value(); }));
  fixture.PutConfig(std::string("{\"version\":2,\"routes\":[{}]}"));
  REQUIRE(fixture.RunUntil(
    [&] { return fixture.counters.Get("config_reads_total", "unreadable") == 1; }));
  CHECK(fixture.config.Config()->version == 1);
}

TEST_CASE("ConfigWatcher HasNoConfigurationWhileTheStoreIsDown")
{
  StoreFixture fixture;
  fixture.PutConfig(1);
  fixture.store.SetFault(fixture.server, { .busy = true });
  fixture.config.Start();
  fixture.RunFor(300 * kMillisecond);
  CHECK_FALSE(fixture.config.Config().has_value());
  fixture.store.SetFault(fixture.server, {});
  CHECK(fixture.RunUntil([&] { return fixture.config.Config().has_value(); }));
}

// Guards against an entry that keeps its configuration for good because its handler failed once.
TEST_CASE("ConfigWatcher FollowsTheConfigurationWhenItsHandlerThrows")
{
  StoreFixture fixture;
  std::vector<std::uint64_t> applied;
  ConfigWatcher watcher{ fixture.context,
                         *fixture.client,
                         fixture.counters,
                         [&](const cluster::ClusterConfig& aConfig) {
                           applied.push_back(aConfig.version);
                           if (aConfig.version < 5) {
                             throw std::runtime_error("cannot apply the configuration");
                           }
                           fixture.context.stop();
                         } };
  fixture.PutConfig(3);
  watcher.Start();
  asio::steady_timer second(fixture.context, 200 * kMillisecond);
  second.async_wait([&](asio::error_code) { fixture.PutConfig(4); });
  asio::steady_timer third(fixture.context, 400 * kMillisecond);
  third.async_wait([&](asio::error_code) { fixture.PutConfig(5); });
  asio::steady_timer limit(fixture.context, std::chrono::seconds(5));
  limit.async_wait([&](asio::error_code) { fixture.context.stop(); });
  RunEventLoop(fixture.context, fixture.counters);
  CHECK(applied == std::vector<std::uint64_t>{ 3, 4, 5 });
}
