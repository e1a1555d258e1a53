// Tells what a failed HTTP call proves about its request.
#pragma once

#include <httplib.h>

namespace oriolespread {

// Returns whether no connection was made, so that the server surely has not seen the request.
bool SurelyNotSent(httplib::Error aError);

} // namespace oriolespread
