// Port to the platform's object store. Objects are written once under a fresh name and not changed.
//
// Calls return at once; the callback runs later on the caller's event loop, exactly once, never
// from within the call. No call throws.
#pragma once

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include <concepts>
#include <functional>
#include <string>

namespace oriolespread {

// An error means that the object may or may not have been written or deleted.
using ObjectWriteCallback = std::function<void(const absl::Status&)>;
// NotFound means that there is no such object; any other error is worth asking again.
using ObjectReadCallback = std::function<void(const absl::StatusOr<std::string>&)>;

template<typename T>
concept ObjectStorePort = requires(T& aStore,
                                   const std::string& aName,
                                   std::string aContent,
                                   ObjectWriteCallback aOnWrite,
                                   ObjectReadCallback aOnRead)
{
  aStore.Put(aName, aContent, aOnWrite);
  aStore.Get(aName, aOnRead);
  aStore.Delete(aName, aOnWrite);
};

} // namespace oriolespread
