// Commands of operators and callers, sent to an entry over HTTP.
#pragma once

namespace oriolespread::apps {

// Each takes the command line from the command's own name on and returns the exit code.
int RunTicket(int aCount, char** aArguments);
int RunJob(int aCount, char** aArguments);
int RunStatus(int aCount, char** aArguments);

} // namespace oriolespread::apps
