#include "oriolespread/tickets/TicketBook.h"

#include "AgentLinks.h"
#include "BookState.h"
#include "CatchUp.h"
#include "LogReplay.h"
#include "Submissions.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace oriolespread {

namespace {

// Numbers above the view's that others report are looked up at once, but not more often than this:
// a number that the table service does not have must not cause a loop.
constexpr Duration kHintInterval = std::chrono::milliseconds(100);

} // namespace

class TicketBook::Impl
{
public:
  Impl(TicketBookOptions aOptions, Counters& aCounters)
    : catchUp(this->state)
    , submissions(this->state, this->catchUp)
    , agents(this->state)
    , replay(this->state)
  {
    this->state.options = std::move(aOptions);
    this->state.counters = &aCounters;
  }

  void Handle(Instant aNow, const TicketEvent& aEvent, TicketEffects& aEffects)
  {
    const TicketNumber before = this->state.view.Number();
    std::visit([&](const auto& aBody) { this->On(aNow, aBody, aEffects); }, aEvent);
    this->submissions.Advance(aNow, aEffects);
    this->replay.Advance(aNow, aEffects);
    this->catchUp.Tick(aNow, aEffects);
    this->agents.Tick(aNow, aEffects);
    if (this->state.view.Number() != before) {
      this->agents.OnNumberRaised(aNow, aEffects);
    }
  }

  Instant NextWakeup() const
  {
    return std::min({ this->catchUp.NextWakeup(),
                      this->submissions.NextWakeup(),
                      this->agents.NextWakeup(),
                      this->replay.NextWakeup() });
  }

  internal::BookState state;

private:
  void On(Instant /*aNow*/, const TicketTick& /*aEvent*/, TicketEffects& /*aEffects*/) {}

  void On(Instant aNow, const SubmitTicket& aEvent, TicketEffects& aEffects)
  {
    this->submissions.Submit(aNow, aEvent, aEffects);
  }

  void On(Instant /*aNow*/, const ReadTicketLog& aEvent, TicketEffects& aEffects)
  {
    this->replay.Read(aEvent, aEffects);
  }

  void On(Instant /*aNow*/, const ReplayTickets& aEvent, TicketEffects& aEffects)
  {
    this->replay.Replay(aEvent, aEffects);
  }

  void On(Instant aNow, const TicketCommitResult& aEvent, TicketEffects& aEffects)
  {
    this->submissions.OnCommit(aNow, aEvent, aEffects);
  }

  void On(Instant aNow, const TicketFateResult& aEvent, TicketEffects& aEffects)
  {
    this->submissions.OnFate(aNow, aEvent, aEffects);
  }

  void On(Instant aNow, const TicketScanResult& aEvent, TicketEffects& aEffects)
  {
    this->catchUp.OnScan(aNow, aEvent, aEffects);
    this->submissions.OnScan(aNow, aEvent, aEffects);
    this->replay.OnScan(aEvent, aEffects);
  }

  void On(Instant aNow, const TicketAgentConnected& aEvent, TicketEffects& /*aEffects*/)
  {
    this->agents.OnConnected(aNow, aEvent.agent);
  }

  void On(Instant /*aNow*/, const TicketAgentGone& aEvent, TicketEffects& /*aEffects*/)
  {
    this->agents.OnGone(aEvent.agent);
  }

  void On(Instant aNow, const TicketAgentReport& aEvent, TicketEffects& aEffects)
  {
    this->agents.OnReport(aNow, aEvent, aEffects);
    this->OnHint(aNow, aEvent.number);
  }

  void On(Instant aNow, const TicketAgentState& aEvent, TicketEffects& aEffects)
  {
    this->agents.OnState(aNow, aEvent, aEffects);
  }

  void On(Instant aNow, const TicketNumberSeen& aEvent, TicketEffects& /*aEffects*/)
  {
    this->OnHint(aNow, aEvent.number);
  }

  void OnHint(Instant aNow, TicketNumber aNumber)
  {
    if (aNumber > this->state.view.Number() && aNow >= this->nextHint) {
      this->nextHint = aNow + kHintInterval;
      this->catchUp.Request();
    }
  }

  internal::CatchUp catchUp;
  internal::Submissions submissions;
  internal::AgentLinks agents;
  internal::LogReplay replay;
  Instant nextHint = Instant::min();
};

TicketBook::TicketBook(TicketBookOptions aOptions, Counters& aCounters)
  : impl(std::make_unique<Impl>(std::move(aOptions), aCounters))
{
}

TicketBook::TicketBook(TicketBook&&) noexcept = default;
TicketBook& TicketBook::operator=(TicketBook&&) noexcept = default;
TicketBook::~TicketBook() = default;

void TicketBook::Handle(Instant aNow, const TicketEvent& aEvent, TicketEffects& aEffects)
{
  this->impl->Handle(aNow, aEvent, aEffects);
}

Instant TicketBook::NextWakeup() const
{
  return this->impl->NextWakeup();
}

bool TicketBook::Ready() const
{
  return this->impl->state.known;
}

bool TicketBook::StoreReachable() const
{
  return this->impl->state.storeReachable;
}

const ConfigView& TicketBook::View() const
{
  return this->impl->state.view;
}

std::string_view ToString(SubmitOutcome aOutcome)
{
  switch (aOutcome) {
    case SubmitOutcome::Accepted:
      return "accepted";
    case SubmitOutcome::Conflict:
      return "conflict";
    case SubmitOutcome::Invalid:
      return "invalid";
    case SubmitOutcome::IdReused:
      return "id_reused";
    case SubmitOutcome::StoreUnavailable:
      return "store_unavailable";
    case SubmitOutcome::Busy:
      return "busy";
    case SubmitOutcome::Unknown:
      return "unknown";
  }
  return "invalid";
}

} // namespace oriolespread
