#include "oriolespread/service/EventLoop.h"

#include "oriolespread/service/Log.h"

#include <exception>
#include <memory>
#include <utility>

namespace oriolespread {

namespace {

// Bounds how long links and timers wait behind posted work.
constexpr int kWorkPerTurn = 64;

} // namespace

EventLoop::EventLoop(std::string aName, std::size_t aCapacity, Counters& aCounters)
  : name(std::move(aName))
  , counters(aCounters)
  , guard(asio::make_work_guard(this->context))
  , ring(aCapacity)
{
}

EventLoop::~EventLoop()
{
  this->Stop();
}

void EventLoop::Start()
{
  this->thread = std::thread([this] { this->Run(); });
}

void EventLoop::Run()
{
  while (true) {
    try {
      this->context.run();
      return;
    } catch (const std::exception& error) {
      this->counters.Add("handler_errors_total", "exception");
      Log(LogLevel::Error,
          "handler_failed",
          { { "loop", this->name }, { "reason", std::string(error.what()) } });
    }
  }
}

void EventLoop::Stop()
{
  this->ring.Close();
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

bool EventLoop::TryPost(Work aWork)
{
  if (!this->ring.TryPush(std::move(aWork))) {
    this->counters.Add("ring_full_total", this->name);
    return false;
  }
  if (!this->draining.exchange(true)) {
    asio::post(this->context, [this] { this->Drain(); });
  }
  return true;
}

void EventLoop::Deliver(Work aWork)
{
  asio::post(this->context, std::move(aWork));
}

void EventLoop::After(Duration aDelay, Work aWork)
{
  auto timer = std::make_shared<asio::steady_timer>(this->context, aDelay);
  timer->async_wait([timer, work = std::move(aWork)](const asio::error_code& aError) {
    if (!aError) {
      work();
    }
  });
}

void EventLoop::Drain()
{
  for (int count = 0; count < kWorkPerTurn; ++count) {
    std::optional<Work> work = this->ring.TryPop();
    if (!work.has_value()) {
      // A producer that pushes after this store posts a new drain; one that pushed before it and
      // saw `draining` set is caught by the second look.
      this->draining.store(false);
      if (this->ring.size() == 0 || this->draining.exchange(true)) {
        return;
      }
      continue;
    }
    try {
      (*work)();
    } catch (...) {
      asio::post(this->context, [this] { this->Drain(); });
      throw;
    }
  }
  asio::post(this->context, [this] { this->Drain(); });
}

} // namespace oriolespread
