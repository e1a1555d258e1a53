// Waits on a thread of the HTTP pool for an answer that another thread makes.
#pragma once

#include "oriolespread/base/Time.h"

#include <functional>
#include <future>
#include <memory>
#include <optional>

namespace oriolespread::internal {

// Calls `aBegin` with a callback and returns what the callback is given, or nothing when it is not
// called within the limit or is destroyed uncalled. A later call of the callback has no effect.
template<typename Answer, typename Begin>
std::optional<Answer> Await(Duration aLimit, Begin aBegin)
{
  auto promise = std::make_shared<std::promise<Answer>>();
  std::future<Answer> future = promise->get_future();
  aBegin([promise](const Answer& aAnswer) { promise->set_value(aAnswer); });
  promise.reset();
  if (future.wait_for(aLimit) != std::future_status::ready) {
    return std::nullopt;
  }
  try {
    return future.get();
  } catch (const std::future_error&) {
    return std::nullopt;
  }
}

} // namespace oriolespread::internal
