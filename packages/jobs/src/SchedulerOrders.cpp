// The part of JobScheduler that forms the messages with orders for agents.
#include "oriolespread/jobs/JobScheduler.h"

#include <utility>

namespace oriolespread::jobs {

namespace {

// The part of an encoded order that does not depend on the job, with the names of the task and of
// all fields.
constexpr std::size_t kOrderOverheadBytes = 256;

} // namespace

std::vector<std::pair<std::string, WorkerOrders>> JobScheduler::TakeOrders()
{
  std::vector<std::pair<std::string, WorkerOrders>> taken;
  for (auto& [agent, outgoing] : std::exchange(this->outgoingOrders, {})) {
    for (WorkerOrders& message : outgoing.messages) {
      taken.emplace_back(agent, std::move(message));
    }
  }
  return taken;
}

WorkerOrders& JobScheduler::OrdersFor(const std::string& aAgent,
                                      const WorkerKey& aWorker,
                                      std::size_t aBytes)
{
  OutgoingOrders& outgoing = this->outgoingOrders[aAgent];
  if (!outgoing.messages.empty() && outgoing.messages.back().born != aWorker.born) {
    // Only stops hold for a later process of the worker, which may carry out delayed starts.
    for (WorkerOrders& message : outgoing.messages) {
      message.born = aWorker.born;
      message.starts.clear();
      message.acknowledgedEnds.clear();
    }
  }
  if (outgoing.messages.empty() || outgoing.lastBytes >= this->settings.maxOrderBytes) {
    WorkerOrders& message = outgoing.messages.emplace_back();
    message.epoch = this->epoch;
    message.sequence = ++this->lastOrders;
    message.born = aWorker.born;
    outgoing.lastBytes = 0;
  }
  outgoing.lastBytes += aBytes + kOrderOverheadBytes;
  return outgoing.messages.back();
}

void JobScheduler::OrderStop(const RunKey& aRunKey)
{
  Run& run = *this->FindRun(aRunKey);
  WorkerOrders& orders = this->OrdersFor(run.agent, run.worker);
  orders.stops.push_back(ToRunRef(aRunKey));
  run.ordersSequence = orders.sequence;
}

void JobScheduler::OrderStart(const RunKey& aRunKey, bool aRepeated)
{
  Run& run = *this->FindRun(aRunKey);
  const StepSpec& step = this->SpecOf(aRunKey.task);
  StartRun start;
  start.ref = ToRunRef(aRunKey);
  start.payload = this->jobs.at(aRunKey.task.job).record.spec.payload;
  start.checkpoint = this->FindTask(aRunKey.task)->checkpoint;
  start.image = step.image;
  start.latencyTargetMs = step.longRunning ? step.latencyTargetMs : 0;
  start.fillsUnused = step.fillsUnused;
  start.repeated = aRepeated;
  WorkerOrders& orders = this->OrdersFor(
    run.agent, run.worker, start.payload.size() + start.checkpoint.size() + start.image.size());
  orders.starts.push_back(std::move(start));
  run.ordersSequence = orders.sequence;
}

} // namespace oriolespread::jobs
