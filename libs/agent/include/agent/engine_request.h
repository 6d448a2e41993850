#ifndef AGENT_ENGINE_REQUEST_H_
#define AGENT_ENGINE_REQUEST_H_

#include <string>

#include "link/start_run.h"

namespace godwit::agent {

// Returns the body of the call to a model engine: the caller's body with the
// output cap as max_tokens, a request for usage, and resume_tokens if the run
// resumes. A body that is not a JSON object is returned unchanged.
std::string EngineRequestBody(const link::StartRun& start);

// Returns true if the body requests a stream of events.
bool RequestsStream(const std::string& body);

}  // namespace godwit::agent

#endif  // AGENT_ENGINE_REQUEST_H_
