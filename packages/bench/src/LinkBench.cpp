// Measures a link over loopback: calls, messages, and what an idle link costs.
#include "oriolespread/bench/BenchCase.h"
#include "oriolespread/link/LinkDialer.h"
#include "oriolespread/link/LinkListener.h"
#include "oriolespread/link_testing/Relay.h"

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <malloc.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace oriolespread {

namespace {

constexpr std::size_t kBodyBytes = 1'000;
// Share of the requirements for entry and agent together; the link must not use up all of it.
constexpr double kMedianBoundUs = 1'000.0;
constexpr double kP99BoundUs = 3'000.0;
// A daemon spends at most 64 MB and 7 KB/s on control and holds 4 links.
constexpr double kLinksPerAgent = 4.0;
constexpr double kIdleBytesBound = 7'000.0 / kLinksPerAgent;

[[noreturn]] void Stop(const std::string& aProblem)
{
  std::cerr << "link bench: " << aProblem << "\n";
  std::exit(1);
}

// Returns processor time of all threads of the process in microseconds.
double ProcessorUs()
{
  timespec value{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) * 1e6 + static_cast<double>(value.tv_nsec) / 1e3;
}

double MicrosecondsSince(Instant aStart)
{
  return std::chrono::duration<double, std::micro>(BootClock::now() - aStart).count();
}

std::size_t HeapBytes()
{
  return mallinfo2().uordblks;
}

// Returns the value at this share of the sorted order.
double Quantile(std::vector<double>& aValues, double aShare)
{
  const auto at = static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(at), aValues.end());
  return aValues[at];
}

CallRequest BenchRequest(std::uint64_t aCounter)
{
  CallRequest request;
  request.id = { Incarnation{ 1 }, aCounter };
  request.organisation = OrganisationId{ "organisation-1" };
  request.service = ServiceName{ "search" };
  request.upstream = UpstreamId{ "upstream-1" };
  request.incarnation = Incarnation{ 1 };
  request.deadlineLeft = std::chrono::milliseconds(900) + std::chrono::microseconds(aCounter % 977);
  request.method = "GET";
  request.path = "/items/" + std::to_string(aCounter);
  request.headers = { { "accept", "application/json" },
                      { "user-agent", "bench/1" },
                      { "x-trace", std::to_string(aCounter * 7'919) } };
  request.body.assign(kBodyBytes, 'q');
  return request;
}

LoadReport BenchReport(std::uint64_t aSequence)
{
  LoadReport report;
  report.agent = AgentId{ "agent-1" };
  report.sequence = aSequence;
  report.upstreams.push_back({ UpstreamId{ "upstream-1" }, 3, 1, 400, 2, 5'000, 20'000 });
  return report;
}

LinkDialerOptions DialerOptions(std::uint16_t aPort, std::size_t aNumber)
{
  LinkDialerOptions options;
  options.agent = AgentId{ "agent-" + std::to_string(aNumber) };
  options.dataCentre = DataCentreId{ "dc-1" };
  options.address = "127.0.0.1";
  options.port = aPort;
  options.sharedKey = "an example key of enough bytes";
  options.seed = aNumber + 1;
  return options;
}

// An entry whose loop runs on the calling thread.
struct Entry
{
  Entry()
  {
    LinkListenerOptions options;
    options.entry = EntryId{ "entry-1" };
    options.dataCentre = DataCentreId{ "dc-1" };
    options.sharedKey = "an example key of enough bytes";
    LinkListenerHandlers handlers;
    handlers.up = [this](LinkId aLink, const AgentId&, const DataCentreId&) {
      this->link = aLink;
      ++this->links;
    };
    handlers.message = [this](LinkId, const LinkMessage&) { ++this->messages; };
    auto made = LinkListener::Create(this->context, options, handlers, this->counters);
    if (!made.ok()) {
      Stop(made.status().ToString());
    }
    this->listener = *std::move(made);
  }
  void RunUntil(const std::function<bool()>& aCondition)
  {
    const Instant limit = BootClock::now() + std::chrono::seconds(120);
    while (!aCondition()) {
      // Runs as a program's loop does; run_one would add a poll of the reactor to each event.
      this->context.run_for(std::chrono::milliseconds(5));
      if (BootClock::now() > limit) {
        Stop("no progress for 120 s");
      }
    }
  }

  asio::io_context context;
  Counters counters;
  LinkId link;
  std::size_t links = 0;
  std::uint64_t messages = 0;
  std::unique_ptr<LinkListener> listener;
};

// An agent with a loop on a thread of its own; answers each call with the body of the request.
class Agent
{
public:
  explicit Agent(std::uint16_t aPort, std::uint64_t aReports = 0)
    : guard(asio::make_work_guard(this->context))
    , reports(aReports)
  {
    LinkDialerHandlers handlers;
    handlers.call = [](CallRequest aRequest, const std::shared_ptr<Responder>& aResponder) {
      aResponder->Answer(
        { 200, { { "content-type", "application/json" } }, std::move(aRequest.body) });
    };
    handlers.up = [this](const EntryId&, const DataCentreId&) { this->SendReports(); };
    auto made =
      LinkDialer::Create(this->context, DialerOptions(aPort, 1), handlers, this->counters);
    if (!made.ok()) {
      Stop(made.status().ToString());
    }
    this->dialer = *std::move(made);
    this->thread = std::thread([this] { this->context.run(); });
  }
  ~Agent()
  {
    asio::post(this->context, [this] {
      this->dialer.reset();
      this->guard.reset();
    });
    this->thread.join();
  }
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

private:
  // Sends all reports, in turns with the loop.
  void SendReports()
  {
    for (int i = 0; i < 10 && this->reports > 0; ++i) {
      if (this->dialer->Send(BenchReport(this->reports))) {
        --this->reports;
      }
    }
    if (this->reports > 0) {
      asio::post(this->context, [this] { this->SendReports(); });
    }
  }

  asio::io_context context;
  asio::executor_work_guard<asio::io_context::executor_type> guard;
  Counters counters;
  std::uint64_t reports;
  std::unique_ptr<LinkDialer> dialer;
  std::thread thread;
};

// Makes calls with `aInFlight` at a time, and returns the latency of each in microseconds.
std::vector<double> RunCalls(Entry& aEntry, std::uint64_t aCalls, std::uint64_t aInFlight)
{
  std::vector<double> latencies;
  latencies.reserve(aCalls);
  std::uint64_t started = 0;
  std::function<void()> start = [&] {
    const Instant begun = BootClock::now();
    aEntry.listener->StartCall(
      aEntry.link, BenchRequest(++started), [&, begun](const CallResult& aResult) {
        if (aResult.end != CallEnd::Answered || aResult.answer.body.size() != kBodyBytes) {
          Stop("a call failed: " + aResult.reason);
        }
        latencies.push_back(MicrosecondsSince(begun));
        if (started < aCalls) {
          start();
        }
      });
  };
  for (std::uint64_t i = 0; i < aInFlight; ++i) {
    start();
  }
  aEntry.RunUntil([&] { return latencies.size() >= aCalls; });
  return latencies;
}

void MeasureCalls(BenchContext& aContext)
{
  Entry entry;
  Agent agent(entry.listener->Port());
  entry.RunUntil([&] { return entry.links == 1; });
  RunCalls(entry, 2'000, 1);
  std::vector<double> latencies = RunCalls(entry, 20'000, 1);
  aContext.Report({ "median", {}, Quantile(latencies, 0.5), "us", kMedianBoundUs });
  aContext.Report({ "p99", {}, Quantile(latencies, 0.99), "us", kP99BoundUs });
  constexpr std::uint64_t kCalls = 100'000;
  const Instant start = BootClock::now();
  const double processorStart = ProcessorUs();
  RunCalls(entry, kCalls, 64);
  const double processor = ProcessorUs() - processorStart;
  aContext.Report({ "rate_64_in_flight", {}, kCalls * 1e6 / MicrosecondsSince(start), "1/s", {} });
  aContext.Report({ "processor_both_sides", {}, processor / kCalls, "us", {} });
}

void MeasureMessages(BenchContext& aContext)
{
  constexpr std::uint64_t kMessages = 100'000;
  Entry entry;
  const double processorStart = ProcessorUs();
  Agent agent(entry.listener->Port(), kMessages);
  entry.RunUntil([&] { return entry.messages == kMessages; });
  aContext.Report(
    { "processor_both_sides", {}, (ProcessorUs() - processorStart) / kMessages, "us", {} });
}

void MeasureIdle(BenchContext& aContext)
{
  constexpr std::size_t kLinks = 500;
  constexpr std::chrono::seconds kWatch{ 6 };
  Entry entry;
  RelayServer relays(entry.context, entry.listener->Port());
  const std::size_t before = HeapBytes();
  std::vector<std::unique_ptr<LinkDialer>> dialers;
  Counters counters;
  for (std::size_t i = 0; i < kLinks; ++i) {
    auto made =
      LinkDialer::Create(entry.context, DialerOptions(entry.listener->Port(), i), {}, counters);
    dialers.push_back(*std::move(made));
  }
  entry.RunUntil([&] { return entry.links == kLinks; });
  const double bytes = static_cast<double>(HeapBytes() - before) / kLinks;
  aContext.Report({ "heap_both_ends", {}, bytes / 1'024.0, "KiB", {} });
  const Instant end = BootClock::now() + kWatch;
  const double processorStart = ProcessorUs();
  entry.RunUntil([&] { return BootClock::now() >= end; });
  const double processor = ProcessorUs() - processorStart;
  aContext.Report(
    { "processor_both_ends", {}, processor / kLinks / kWatch.count(), "us per link and s", {} });
  dialers.clear();
  dialers.push_back(
    *LinkDialer::Create(entry.context, DialerOptions(relays.Port(), 1), {}, counters));
  entry.RunUntil([&] { return entry.links == kLinks + 1; });
  const auto passed = [&] { return relays.current->passed[0] + relays.current->passed[1]; };
  const std::size_t passedBefore = passed();
  const Instant watchEnd = BootClock::now() + kWatch;
  entry.RunUntil([&] { return BootClock::now() >= watchEnd; });
  const double rate = static_cast<double>(passed() - passedBefore) / kWatch.count();
  aContext.Report({ "bytes_both_directions", {}, rate, "B/s", kIdleBytesBound });
}

const BenchRegistration kCalls{ "link/calls", MeasureCalls };
const BenchRegistration kMessages{ "link/messages", MeasureMessages };
const BenchRegistration kIdle{ "link/idle", MeasureIdle };

} // namespace

} // namespace oriolespread
