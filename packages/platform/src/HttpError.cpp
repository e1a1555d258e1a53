#include "oriolespread/platform/HttpError.h"

namespace oriolespread {

bool SurelyNotSent(httplib::Error aError)
{
  // The library reports other time-outs, after the connect, as Read or Write.
  return aError == httplib::Error::Connection || aError == httplib::Error::ConnectionTimeout ||
         aError == httplib::Error::BindIPAddress;
}

} // namespace oriolespread
