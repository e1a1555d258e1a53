#include "oriolespread/requests/UpstreamRegistry.h"

#include <algorithm>
#include <numeric>

namespace oriolespread {

namespace {

constexpr double kClearFactor = 0.8;
constexpr std::uint32_t kWindowsToSignal = 2;
// Limits the memory of one window. The first latencies of a window suffice for a p99.
constexpr std::size_t kMaxLatenciesPerWindow = 4'096;

std::uint32_t P99(std::vector<std::uint32_t>& aLatencies)
{
  if (aLatencies.empty()) {
    return 0;
  }
  const std::size_t rank = (aLatencies.size() * 99 + 99) / 100 - 1;
  const auto nth = aLatencies.begin() + static_cast<std::ptrdiff_t>(rank);
  std::nth_element(aLatencies.begin(), nth, aLatencies.end());
  return *nth;
}

std::uint32_t Mean(const std::vector<std::uint32_t>& aLatencies)
{
  const auto sum = std::accumulate(aLatencies.begin(), aLatencies.end(), std::uint64_t{ 0 });
  return aLatencies.empty() ? 0 : static_cast<std::uint32_t>(sum / aLatencies.size());
}

void AppendLatency(std::vector<std::uint32_t>& aLatencies, std::uint32_t aLatency)
{
  if (aLatencies.size() < kMaxLatenciesPerWindow) {
    aLatencies.push_back(aLatency);
  }
}

} // namespace

UpstreamRegistry::UpstreamRegistry(UpstreamRegistryOptions aOptions, Counters& aCounters)
  : options(std::move(aOptions))
  , counters(aCounters)
{
}

UpstreamRegistry::~UpstreamRegistry() = default;

bool UpstreamRegistry::AddUpstream(Instant aNow, const UpstreamInfo& aInfo)
{
  const auto found = this->upstreams.find(aInfo.upstream);
  if (found != this->upstreams.end() && aInfo.incarnation < found->second.info.incarnation) {
    this->counters.Add("announcements_refused_total", "stale_incarnation");
    return false;
  }
  if (this->draining) {
    this->counters.Add("announcements_refused_total", "draining");
    return false;
  }
  LocalUpstream& upstream = this->upstreams[aInfo.upstream];
  upstream.info = aInfo;
  this->announceToAll = true;
  this->nextAnnounce = aNow;
  return true;
}

void UpstreamRegistry::BeginLeave(Instant aNow, const UpstreamId& aUpstream)
{
  const auto found = this->upstreams.find(aUpstream);
  if (found == this->upstreams.end() || found->second.info.state == UpstreamState::Leaving) {
    return;
  }
  found->second.info.state = UpstreamState::Leaving;
  this->pendingLeaves.push_back({ aUpstream, found->second.info.incarnation });
  this->announceToAll = true;
  this->nextAnnounce = aNow;
}

void UpstreamRegistry::RemoveUpstream(Instant aNow, const UpstreamId& aUpstream)
{
  if (this->upstreams.erase(aUpstream) > 0) {
    this->announceToAll = true;
    this->nextAnnounce = aNow;
  }
}

void UpstreamRegistry::Drain(Instant aNow)
{
  this->draining = true;
  for (const UpstreamInfo& info : this->Upstreams()) {
    this->BeginLeave(aNow, info.upstream);
  }
}

bool UpstreamRegistry::IsDrained() const
{
  return this->draining &&
         std::all_of(this->upstreams.begin(), this->upstreams.end(), [](const auto& aItem) {
           return aItem.second.inFlight == 0;
         });
}

void UpstreamRegistry::AddLink(Instant aNow, LinkId aLink)
{
  this->links.insert(aLink);
  this->linksToAnnounce.insert(aLink);
  this->nextReport = std::min(this->nextReport, aNow + kReportInterval);
  this->nextAnnounce = std::min(this->nextAnnounce, aNow + kAnnounceInterval);
  this->latencyWindowEnd = std::min(this->latencyWindowEnd, aNow + kLatencyWindow);
}

void UpstreamRegistry::RemoveLink(LinkId aLink)
{
  this->links.erase(aLink);
  this->linksToAnnounce.erase(aLink);
}

bool UpstreamRegistry::AcceptsCalls(const UpstreamId& aUpstream) const
{
  const UpstreamInfo* info = this->Find(aUpstream);
  return info != nullptr && info->state == UpstreamState::Serving;
}

void UpstreamRegistry::BeginCall(const UpstreamId& aUpstream)
{
  const auto found = this->upstreams.find(aUpstream);
  if (found != this->upstreams.end()) {
    ++found->second.inFlight;
  }
}

void UpstreamRegistry::EndCall(Instant aNow,
                               const UpstreamId& aUpstream,
                               Duration aLatency,
                               bool aFailed)
{
  const auto found = this->upstreams.find(aUpstream);
  if (found == this->upstreams.end()) {
    return;
  }
  LocalUpstream& upstream = found->second;
  upstream.inFlight -= std::min(upstream.inFlight, 1U);
  if (aFailed) {
    ++upstream.errors;
    return;
  }
  ++upstream.answered;
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(aLatency).count();
  const auto latency = static_cast<std::uint32_t>(std::clamp<std::int64_t>(us, 1, UINT32_MAX));
  AppendLatency(upstream.latenciesUs, latency);
  const auto signal = this->signals.find({ upstream.info.organisation, upstream.info.service });
  if (signal != this->signals.end()) {
    AppendLatency(signal->second.latenciesUs, latency);
    this->latencyWindowEnd = std::min(this->latencyWindowEnd, aNow + kLatencyWindow);
  }
}

void UpstreamRegistry::SetObjective(const OrganisationId& aOrganisation,
                                    const ServiceName& aService,
                                    Duration aObjective)
{
  const ServiceKey key{ aOrganisation, aService };
  if (aObjective <= Duration::zero()) {
    this->signals.erase(key);
    return;
  }
  this->signals[key].objective = aObjective;
}

void UpstreamRegistry::SetTicket(TicketNumber aNumber)
{
  this->ticket = aNumber;
}

void UpstreamRegistry::Poll(Instant aNow, std::vector<OutgoingLinkMessage>& aMessages)
{
  if (this->lastPoll != Instant::max() && aNow - this->lastPoll >= kPauseThreshold &&
      !this->links.empty()) {
    this->counters.Add("announcements_total", "after_pause");
    this->announceToAll = true;
  }
  this->lastPoll = aNow;
  for (const Leave& leave : this->pendingLeaves) {
    this->SendToAll(leave, aMessages);
  }
  this->pendingLeaves.clear();
  if (this->announceToAll || aNow >= this->nextAnnounce) {
    this->SendToAll(this->MakeAnnounce(), aMessages);
    this->linksToAnnounce.clear();
    this->announceToAll = false;
    this->nextAnnounce = this->links.empty() ? Instant::max() : aNow + kAnnounceInterval;
  }
  for (const LinkId link : this->linksToAnnounce) {
    aMessages.push_back({ link, this->MakeAnnounce() });
  }
  this->linksToAnnounce.clear();
  if (aNow >= this->nextReport) {
    this->SendToAll(this->MakeReport(), aMessages);
    this->nextReport = this->links.empty() ? Instant::max() : aNow + kReportInterval;
  }
  if (aNow >= this->latencyWindowEnd) {
    this->CloseLatencyWindow(aMessages);
    this->latencyWindowEnd = this->links.empty() ? Instant::max() : aNow + kLatencyWindow;
  }
}

Instant UpstreamRegistry::NextWakeup() const
{
  return std::min({ this->nextReport, this->nextAnnounce, this->latencyWindowEnd });
}

const UpstreamInfo* UpstreamRegistry::Find(const UpstreamId& aUpstream) const
{
  const auto found = this->upstreams.find(aUpstream);
  return found == this->upstreams.end() ? nullptr : &found->second.info;
}

std::vector<UpstreamInfo> UpstreamRegistry::Upstreams() const
{
  std::vector<UpstreamInfo> infos;
  infos.reserve(this->upstreams.size());
  for (const auto& [id, upstream] : this->upstreams) {
    infos.push_back(upstream.info);
  }
  return infos;
}

Announce UpstreamRegistry::MakeAnnounce() const
{
  return { this->options.agent,      this->options.incarnation, this->options.worker,
           this->options.dataCentre, this->options.rack,        this->options.capacity,
           this->Upstreams() };
}

LoadReport UpstreamRegistry::MakeReport()
{
  LoadReport report{ this->options.agent, this->options.incarnation, ++this->sequence, {}, {} };
  report.ticket = this->ticket;
  for (auto& [id, upstream] : this->upstreams) {
    const std::uint32_t running = std::min(upstream.inFlight, upstream.info.slots);
    report.upstreams.push_back({ id,
                                 running,
                                 upstream.inFlight - running,
                                 upstream.answered,
                                 upstream.errors,
                                 Mean(upstream.latenciesUs),
                                 P99(upstream.latenciesUs) });
    upstream.answered = 0;
    upstream.errors = 0;
    upstream.latenciesUs.clear();
  }
  return report;
}

void UpstreamRegistry::SendToAll(const LinkMessage& aMessage,
                                 std::vector<OutgoingLinkMessage>& aMessages) const
{
  for (const LinkId link : this->links) {
    aMessages.push_back({ link, aMessage });
  }
}

void UpstreamRegistry::CloseLatencyWindow(std::vector<OutgoingLinkMessage>& aMessages)
{
  for (auto& [key, signal] : this->signals) {
    this->UpdateSignal(key, signal, aMessages);
    signal.latenciesUs.clear();
  }
}

void UpstreamRegistry::UpdateSignal(const ServiceKey& aKey,
                                    LatencySignal& aSignal,
                                    std::vector<OutgoingLinkMessage>& aMessages)
{
  const std::uint32_t p99 = P99(aSignal.latenciesUs);
  const auto objective = static_cast<std::uint32_t>(
    std::chrono::duration_cast<std::chrono::microseconds>(aSignal.objective).count());
  aSignal.windowsAboveObjective = p99 > objective ? aSignal.windowsAboveObjective + 1 : 0;
  const bool wasMissed = aSignal.objectiveMissed;
  if (aSignal.windowsAboveObjective >= kWindowsToSignal) {
    aSignal.objectiveMissed = true;
  } else if (p99 < kClearFactor * objective) {
    aSignal.objectiveMissed = false;
  }
  // Every window is reported while the objective is missed, so that a lost report is compensated
  // by the next one.
  if (aSignal.objectiveMissed || wasMissed) {
    this->counters.Add("service_latency_reports_total", aSignal.objectiveMissed ? "on" : "off");
    this->SendToAll(ServiceLatencyReport{ this->options.worker,
                                          aKey.organisation,
                                          aKey.service,
                                          p99,
                                          objective,
                                          aSignal.objectiveMissed },
                    aMessages);
  }
}

} // namespace oriolespread
